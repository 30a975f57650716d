use super::*;

const GOOD: &str = r#"{"id":"a","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":1,"state":"Terminating"}"#;

fn read(servers: &str) -> (Targets, String) {
    let text = format!(r#"{{"version":3,"full":false,"servers":[{servers}]}}"#);
    let (list, faults) = Targets::parse(text.as_bytes()).expect("a list");
    (list, faults.line().unwrap_or_default())
}

fn lists(reader: &mut Reader, text: &str) -> Vec<Result<Option<u64>, String>> {
    // Byte by byte: nothing depends on how a line is cut on its way.
    let mut seen = Vec::new();
    for byte in text.bytes() {
        reader.push(&[byte]);
        let read = std::iter::from_fn(|| reader.list());
        seen.extend(read.map(|read| read.map(|(list, _)| list.version).map_err(|e| e.to_string())));
    }
    seen
}

#[test]
fn a_bad_entry_costs_no_drain_beside_it() {
    let bad = [
        r#"{"addr":"127.0.0.1:9"}"#,
        "7",
        r#"{"id":"b","addr":"nowhere","zone":"z","kind":"k","state":"Ready"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","zone":"z","kind":"k","state":"Dozing"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","kind":"k","state":"Ready"}"#,
        r#"{"id":"b","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":"x","state":"Ready"}"#,
    ];
    for bad in bad {
        let (list, faults) = read(&format!("{bad},{GOOD}"));
        let drains = list.servers.iter().any(|t| t.id == "a" && t.state == State::Terminating);
        assert!(drains && !faults.is_empty(), "{bad}: {list:?}");
    }
    let (list, faults) = read(&[bad[2], bad[3]].join(","));
    assert_eq!((list.servers.len(), list.doubtful), (0, vec!["b".to_owned(), "b".to_owned()]));
    assert_eq!(faults.matches("b has").count(), 2);
}

#[test]
fn what_is_gone_needs_no_more_than_its_id() {
    let (list, faults) = read(r#"{"id":"a","state":"Gone"}"#);
    assert_eq!((list.servers[0].state, faults.as_str()), (State::Gone, ""));
}

#[test]
fn of_two_entries_for_one_id_the_more_careful_holds() {
    let ready = GOOD.replace("Terminating", "Ready");
    for pair in [format!("{ready},{GOOD}"), format!("{GOOD},{ready}")] {
        let (list, faults) = read(&pair);
        assert_eq!((list.servers.len(), list.servers[0].state), (1, State::Terminating));
        assert_eq!(faults, "a is named twice");
    }
}

#[test]
fn a_thousand_servers_come_in_one_list_and_one_more() {
    for count in [1_024, 1_025] {
        let servers: Vec<_> = (0..count).map(|n| GOOD.replace("\"a\"", &format!("\"s{n}\""))).collect();
        let (list, faults) = read(&servers.join(","));
        assert_eq!((list.servers.len(), faults.as_str()), (count, ""));
    }
}

#[test]
fn lists_are_cut_from_a_watch_however_they_are_laid_out() {
    let text = "\n{\"version\":1,\"servers\":[]}\r\n\n{\n  \"version\": 2,\n  \"servers\": [\n    {\"id\":\"a\",\n \
                \"state\":\"Gone\"}\n  ]\n}\n{\"version\":3,\"servers\":[]}\n";
    assert_eq!(lists(&mut Reader::default(), text), [Ok(Some(1)), Ok(Some(2)), Ok(Some(3))]);
}

#[test]
fn text_that_is_no_list_is_passed_over_up_to_the_next_one() {
    for bad in ["noise", "{\"version\":1", "{\"version\":1,\"servers\":[", "{]}", "[1]", "{\"servers\":7}"] {
        let text = format!("{{\"version\":1,\"servers\":[]}}\n{bad}\n{{\"version\":2,\"servers\":[]}}\n");
        let seen = lists(&mut Reader::default(), &text);
        let good: Vec<_> = seen.iter().flatten().collect();
        assert_eq!((good, seen.len()), (vec![&Some(1), &Some(2)], 3), "{bad}: {seen:?}");
    }
}

#[test]
fn a_line_without_end_is_dropped() {
    let mut reader = Reader::default();
    reader.push("x".repeat(MOST + 1).as_bytes());
    assert!(matches!(reader.list(), Some(Err(Unreadable::TooLong))));
    reader.push(b"x\n{\"version\":2,\"servers\":[]}\n");
    assert!(reader.list().is_some_and(|read| read.is_err()));
    assert_eq!(reader.list().and_then(Result::ok).and_then(|(list, _)| list.version), Some(2));
}
