use super::*;

const VALID: &str = r#"{"id":"a","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":1,"state":"Terminating"}"#;

/// Parses a list with these entries, and returns it with the summary of its faults.
fn parse(servers: &str) -> (TargetList, String) {
    let text = format!(r#"{{"version":3,"full":false,"servers":[{servers}]}}"#);
    let (list, faults) = TargetList::parse(text.as_bytes()).expect("a list");
    (list, faults.summary().unwrap_or_default())
}

/// Decodes the text and returns the version of each list, or the error in its place.
fn decode(decoder: &mut ListDecoder, text: &str) -> Vec<Result<Option<u64>, String>> {
    // Pushes single bytes, as the result must not depend on how the network splits a line.
    let mut decoded = Vec::new();
    for byte in text.bytes() {
        decoder.push(&[byte]);
        let results = std::iter::from_fn(|| decoder.next_list());
        decoded.extend(
            results.map(|result| result.map(|(list, _)| list.version).map_err(|error| error.to_string())),
        );
    }
    decoded
}

#[test]
fn an_invalid_entry_does_not_affect_a_drain_beside_it() {
    let invalid = [
        r#"{"addr":"127.0.0.1:9"}"#,
        "7",
        r#"{"id":"b","addr":"nowhere","zone":"z","kind":"k","state":"Ready"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","zone":"z","kind":"k","state":"Dozing"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","kind":"k","state":"Ready"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":"x","state":"Ready"}"#,
    ];
    for invalid in invalid {
        let (list, faults) = parse(&format!("{invalid},{VALID}"));
        let is_draining =
            list.servers.iter().any(|target| target.id == "a" && target.state == TargetState::Terminating);
        assert!(is_draining && !faults.is_empty(), "{invalid}: {list:?}");
    }
    let (list, faults) = parse(&[invalid[2], invalid[3]].join(","));
    assert_eq!((list.servers.len(), list.unreadable_ids), (0, vec!["b".to_owned(), "b".to_owned()]));
    assert_eq!(faults.matches("b has").count(), 2);
}

#[test]
fn an_entry_that_is_gone_needs_only_an_id() {
    let (list, faults) = parse(r#"{"id":"a","state":"Gone"}"#);
    assert_eq!((list.servers[0].state, faults.as_str()), (TargetState::Gone, ""));
}

#[test]
fn the_more_restrictive_of_two_entries_for_one_id_applies() {
    let ready = VALID.replace("Terminating", "Ready");
    for pair in [format!("{ready},{VALID}"), format!("{VALID},{ready}")] {
        let (list, faults) = parse(&pair);
        assert_eq!((list.servers.len(), list.servers[0].state), (1, TargetState::Terminating));
        assert_eq!(faults, "a is named twice");
    }
}

#[test]
fn lists_of_1024_and_1025_servers_are_parsed_in_full() {
    for count in [1_024, 1_025] {
        let servers: Vec<_> = (0..count).map(|n| VALID.replace("\"a\"", &format!("\"s{n}\""))).collect();
        let (list, faults) = parse(&servers.join(","));
        assert_eq!((list.servers.len(), faults.as_str()), (count, ""));
    }
}

#[test]
fn lists_on_one_line_and_indented_lists_are_decoded() {
    let text = "\n{\"version\":1,\"servers\":[]}\r\n\n{\n  \"version\": 2,\n  \"servers\": [\n    {\"id\":\"a\",\n \
                \"state\":\"Gone\"}\n  ]\n}\n{\"version\":3,\"servers\":[]}\n";
    assert_eq!(decode(&mut ListDecoder::default(), text), [Ok(Some(1)), Ok(Some(2)), Ok(Some(3))]);
}

#[test]
fn invalid_text_is_skipped_up_to_the_next_list() {
    for invalid in
        ["noise", "{\"version\":1", "{\"version\":1,\"servers\":[", "{]}", "[1]", "{\"servers\":7}"]
    {
        let text = format!("{{\"version\":1,\"servers\":[]}}\n{invalid}\n{{\"version\":2,\"servers\":[]}}\n");
        let decoded = decode(&mut ListDecoder::default(), &text);
        let versions: Vec<_> = decoded.iter().flatten().collect();
        assert_eq!((versions, decoded.len()), (vec![&Some(1), &Some(2)], 3), "{invalid}: {decoded:?}");
    }
}

#[test]
fn a_line_over_the_size_limit_is_dropped() {
    let mut decoder = ListDecoder::default();
    decoder.push("x".repeat(MAX_LIST_BYTES + 1).as_bytes());
    assert!(matches!(decoder.next_list(), Some(Err(ListError::TooLong))));
    decoder.push(b"x\n{\"version\":2,\"servers\":[]}\n");
    assert!(decoder.next_list().is_some_and(|result| result.is_err()));
    assert_eq!(decoder.next_list().and_then(Result::ok).and_then(|(list, _)| list.version), Some(2));
}
