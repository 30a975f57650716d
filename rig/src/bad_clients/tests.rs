use super::*;

fn met(told: Told, after: Duration, is_forwarded: bool) -> Met {
    Met { form: Form::HalfBody, stage: Stage::First, told, after, is_forwarded }
}

#[test]
fn what_bad_clients_are_owed_is_told_from_what_breaks_the_rule() {
    let (soon, late) = (Duration::from_millis(2_900), Duration::from_millis(3_100));
    assert_eq!(met(Told::Answered(400), soon, false).finding(), None);
    assert_eq!(met(Told::Closed, soon, false).finding(), None);
    assert!(met(Told::Closed, late, false).finding().is_some());
    assert!(met(Told::Answered(200), soon, false).finding().is_some());
    assert!(met(Told::Answered(400), soon, true).finding().is_some());
    assert!(met(Told::Nothing, soon, false).finding().is_some());
    let large = Met { form: Form::SixtyMegabytes, ..met(Told::Closed, late, false) };
    assert_eq!(large.finding(), None);
}
