use super::*;

fn names() -> Names {
    let names = |list: &[&str]| list.iter().map(|name| (*name).to_owned()).collect();
    Names { classes: names(&["ask"]), tenants: names(&["north", "south"]), ..Names::default() }
}

/// A request's head with these headers beside those that every request has.
fn head(more: &[(&'static str, &'static str)]) -> HeaderMap {
    let usual = [
        ("request-class", "ask"),
        ("request-timeout-ms", "500"),
        ("request-info", "prompt_len=100,max_out=10"),
    ];
    let pairs = usual.iter().chain(more);
    pairs.map(|&(name, value)| (name.parse().expect("a name"), HeaderValue::from_static(value))).collect()
}

#[test]
fn the_tenant_is_read_by_the_name_that_the_settings_give_it() {
    let tenant = |headers: &HeaderMap| ask(headers, &names()).expect("a fit head").tenant;
    assert_eq!(tenant(&head(&[("tenant", "south")])), Some(TenantId(1)));
    assert_eq!(tenant(&head(&[("tenant", "elsewhere")])), None);
    assert_eq!(tenant(&head(&[])), None);
}

#[test]
fn the_work_hint_is_microseconds_and_zero_is_none() {
    let hint = |value| ask(&head(&[("work-hint", value)]), &names()).map(|ask| ask.expected_stream_time);
    assert_eq!(hint("4200000").expect("a fit hint"), Some(4_200_000));
    assert_eq!(hint("1500.5").expect("a fit hint"), Some(1_500));
    assert_eq!(hint("0").expect("no guess"), None);
    assert_eq!(ask(&head(&[]), &names()).expect("no hint").expected_stream_time, None);
    for absurd in ["-1", "NaN", "inf", "1e300", "soon"] {
        assert!(matches!(hint(absurd), Err(Malformed::Unfit("Work-Hint", _))), "{absurd}");
    }
}
