use proptest::prelude::*;

use super::*;

/// Feeds a stream in pieces of these lengths, over and over. Returns all that was forwarded, and the most that was held.
fn forward(text: &[u8], lengths: &[usize]) -> Result<(Vec<u8>, usize), MalformedEvents> {
    let (mut framer, mut forwarded, mut most_held) = (Framer::default(), Vec::new(), 0);
    let mut rest = text;
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, further) = rest.split_at((*length).min(rest.len()));
        forwarded.extend_from_slice(&framer.push(Bytes::copy_from_slice(piece))?.bytes);
        most_held = most_held.max(framer.incomplete.len());
        rest = further;
    }
    forwarded.extend_from_slice(&framer.take_rest());
    Ok((forwarded, most_held))
}

proptest! {
    /// Guards against long events being held whole, and against bytes that are lost or moved where an event is forwarded in parts.
    #[test]
    fn events_pass_unchanged_and_little_of_them_is_held(
        events in prop::collection::vec(("[a-zé\r\n]{0,4}", 0_usize..30_000), 1..4), lengths in prop::collection::vec(1_usize..9_000, 1..5),
    ) {
        let text: String = events.iter().map(|(start, length)| format!("data: {start}{}\n\n", "é".repeat(length / 2))).collect();
        let (forwarded, most_held) = forward(text.as_bytes(), &lengths).expect("events");
        prop_assert_eq!(forwarded.as_slice(), text.as_bytes());
        prop_assert!(most_held <= MAX_HELD_EVENT_BYTES + 8, "{}", most_held);
    }
}

/// What was forwarded of an event counts towards its size.
#[test]
fn data_without_an_end_is_no_event_however_it_is_forwarded() {
    let endless = |length| forward("data: ".repeat(length / 6).as_bytes(), &[8_000]).is_err();
    assert!(!endless(MAX_EVENT_BYTES - 8_000));
    assert!(endless(MAX_EVENT_BYTES + 8_000));
}

proptest! {
    /// Guards against characters that JSON allows in a string, among them U+007F, and that count as noise; and against events that
    /// are told by where the transport cuts them, or are taken for comments.
    #[test]
    fn events_are_told_from_comments_whatever_they_hold_and_however_they_are_cut(
        blocks in prop::collection::vec((any::<bool>(), "[^\\p{Cc}\"\\\\\u{feff}]{0,12}\u{7f}?"), 1..8),
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]), lengths in prop::collection::vec(1_usize..40, 1..5),
    ) {
        let (mut text, mut ends) = (String::new(), Vec::new());
        for (is_event, content) in &blocks {
            let line = if *is_event { format!("data: {{\"a\":\"{content}\"}}") } else { format!(": data: {content}") };
            text += &format!("{line}{line_end}{line_end}");
            if *is_event {
                ends.push(text.len());
            }
        }
        let (mut framer, mut received, mut told) = (Framer::default(), 0, Vec::new());
        let mut cuts = lengths.iter().cycle();
        while received < text.len() {
            let until = (received + cuts.next().expect("a length")).min(text.len());
            let piece = Bytes::copy_from_slice(&text.as_bytes()[received..until]);
            let completes_event = framer.push(piece).expect("events").completes_event;
            let is_due = ends.iter().any(|&end| (received + 1..=until).contains(&end));
            told.push((completes_event, is_due));
            received = until;
        }
        prop_assert!(told.iter().all(|(told, due)| told == due), "{:?}", told);
    }
}

proptest! {
    /// Guards against comments in front of the first event of which what is left is read as an event, and against lost fields.
    #[test]
    fn what_is_left_of_dropped_comments_is_no_event(
        comments in prop::collection::vec((0_usize..9_000, "(id: 1\n)?", "\n{0,2}"), 1..6), lengths in prop::collection::vec(1_usize..6_000, 1..5),
    ) {
        let comment = |(length, field, end): &(usize, String, String)| {
            format!(": {}\n{field}{end}", "data: x ".repeat(length / 8))
        };
        let text: String = comments.iter().map(comment).collect();
        let (mut framer, mut held, mut rest) = (Framer::default(), BytesMut::new(), text.as_bytes());
        for length in lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, behind) = rest.split_at((*length).min(rest.len()));
            let forwardable = framer.push(Bytes::copy_from_slice(piece)).expect("comments");
            prop_assert!(!forwardable.completes_event && !framer.has_forwarded_data());
            held.extend_from_slice(&forwardable.bytes);
            framer.drop_comments(&mut held);
            rest = behind;
        }
        held.extend_from_slice(&framer.take_rest());
        prop_assert!(!has_data_line(&held, false), "{:?}", held);
        let last_block = text.rsplit("\n\n").next().unwrap_or_default();
        prop_assert!(!last_block.contains("id: 1") || lines(&held).any(|line| line == b"id: 1"), "{:?}", held);
    }
}
