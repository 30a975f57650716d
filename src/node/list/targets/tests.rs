use super::*;

const VALID: &str = r#"{"id":"a","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":1,"state":"Terminating"}"#;

/// Parses a list with these entries, and returns it with the summary of its faults.
fn parse(servers: &str) -> (TargetList, String) {
    let text = format!(r#"{{"version":3,"full":false,"servers":[{servers}]}}"#);
    let (list, faults) = TargetList::parse(text.as_bytes()).expect("a list");
    (list, faults.summary().unwrap_or_default())
}

/// Version and number of servers of a list, or the error in its place.
type Decoded = Result<(Option<u64>, usize), String>;

/// Decodes these pieces of a text.
fn decode_pieces<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<Decoded> {
    let mut decoder = ListDecoder::default();
    let mut decoded = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        let results = std::iter::from_fn(|| decoder.next_list());
        let shown = |(list, _): (TargetList, EntryFaults)| (list.version, list.servers.len());
        decoded.extend(results.map(|result| result.map(shown).map_err(|error| error.to_string())));
    }
    decoded
}

/// Decodes the text and returns the version of each list, or the error in its place.
fn decode(text: &str) -> Vec<Result<Option<u64>, String>> {
    // Pushes single bytes, as the result must not depend on how the network splits a line.
    let decoded = decode_pieces(text.as_bytes().chunks(1));
    decoded.into_iter().map(|result| result.map(|(version, _)| version)).collect()
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
    assert_eq!(decode(text), [Ok(Some(1)), Ok(Some(2)), Ok(Some(3))]);
}

#[test]
fn invalid_text_is_skipped_up_to_the_next_list() {
    for invalid in
        ["noise", "{\"version\":1", "{\"version\":1,\"servers\":[", "{]}", "[1]", "{\"servers\":7}"]
    {
        let text = format!("{{\"version\":1,\"servers\":[]}}\n{invalid}\n{{\"version\":2,\"servers\":[]}}\n");
        let decoded = decode(&text);
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

/// White space that a list may have between any two of its tokens.
const WHITE_SPACE: [&str; 6] = ["", "", " ", "\n", "\n  ", "\r\n"];

/// Returns a list of these servers, with white space of these kinds between its tokens, in turn.
fn list_text(version: u64, servers: usize, kinds: &[usize]) -> String {
    let mut tokens: Vec<String> = ["{", "\"version\"", ":"].map(str::to_owned).to_vec();
    tokens.push(version.to_string());
    tokens.extend([",", "\"full\"", ":", "true", ",", "\"servers\"", ":", "["].map(str::to_owned));
    for number in 0..servers {
        let entry = VALID.replace("\"a\"", &format!("\"s{number}\""));
        let separator = (number > 0).then(|| ",".to_owned());
        let fields = entry.split_inclusive(['{', ',']).map(str::to_owned);
        tokens.extend(separator.into_iter().chain(fields));
    }
    tokens.extend(["]", "}"].map(str::to_owned));
    let mut white_space = kinds.iter().cycle().map(|&kind| WHITE_SPACE[kind]);
    tokens.into_iter().flat_map(|token| [token, white_space.next().unwrap_or_default().to_owned()]).collect()
}

/// Guards against a list that is taken for a line that was cut short, as an entry of it stands on a line of its own and the rest has
/// not come.
#[test]
fn a_list_whose_only_entry_stands_on_a_line_of_its_own_may_come_in_two_pieces() {
    let text = format!("{{\"version\":1,\"servers\":[\n{VALID}\n]}}\n");
    for cut in 0..text.len() {
        let (first, rest) = text.as_bytes().split_at(cut);
        assert_eq!(decode_pieces([first, rest]), [Ok((Some(1), 1))], "cut at {cut}");
    }
}

proptest::proptest! {
    /// However a list is laid out, and wherever it is cut, the same lists come out.
    #[test]
    fn lists_of_any_layout_may_be_cut_anywhere(
        servers in 0..4_usize,
        kinds in proptest::collection::vec(0..WHITE_SPACE.len(), 1..40),
        cuts in proptest::collection::vec(0..4_000_usize, 0..4),
    ) {
        let lists = [list_text(1, servers, &kinds), list_text(2, servers + 1, &kinds)];
        let text = format!("{}\n\n{}\n", lists[0], lists[1]);
        let mut ends: Vec<_> = cuts.into_iter().map(|cut| cut % text.len()).chain([0, text.len()]).collect();
        ends.sort_unstable();
        let pieces: Vec<_> = ends.windows(2).map(|ends| &text.as_bytes()[ends[0]..ends[1]]).collect();
        let expected = [Ok((Some(1), servers)), Ok((Some(2), servers + 1))];
        proptest::prop_assert_eq!(decode_pieces(pieces), expected, "{:?}", text);
    }
}
