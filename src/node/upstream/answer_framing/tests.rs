use proptest::prelude::*;

use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Follows an answer that arrives in pieces of these lengths, over and over. Returns what is read on, and how many bytes had
/// arrived as a fault was found.
fn follow(answer: &[u8], lengths: &[usize]) -> (Vec<u8>, Option<(FramingFault, usize)>) {
    let (mut framing, mut output, mut arrived) = (AnswerFraming::default(), Vec::new(), 0);
    for length in lengths.iter().cycle() {
        if arrived == answer.len() {
            break;
        }
        let until = (arrived + length).min(answer.len());
        if let Err(fault) = framing.follow(&answer[arrived..until], &mut output) {
            return (output, Some((fault, until)));
        }
        arrived = until;
    }
    (output, None)
}

fn fault_of(answer: &str) -> Option<FramingFault> {
    follow(answer.as_bytes(), &[1]).1.map(|(fault, _)| fault)
}

/// A chunk of a sound answer: its data, and what stands around its size.
fn chunk() -> impl Strategy<Value = (Vec<u8>, String)> {
    let data = prop::collection::vec(any::<u8>(), 1..400);
    (data, 0_usize..4, prop::bool::ANY, "[ \t]{0,3}(;[a-z0-9 =\"]{0,30}){0,2}").prop_map(
        |(data, zeros, is_upper, rest)| {
            let size = if is_upper { format!("{:X}", data.len()) } else { format!("{:x}", data.len()) };
            (data, format!("{}{size}{rest}\r\n", "0".repeat(zeros)))
        },
    )
}

/// The data of the chunks of a body without extensions.
fn decoded(mut body: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while !body.is_empty() {
        let line = body.windows(2).position(|two| two == b"\r\n").expect("a size");
        let size = std::str::from_utf8(&body[..line]).expect("digits");
        let size = usize::from_str_radix(size, 16).expect("a number");
        if size == 0 {
            break;
        }
        data.extend_from_slice(&body[line + 2..line + 2 + size]);
        body = &body[line + 4 + size..];
    }
    data
}

proptest! {
    /// Guards against sound answers that are taken for spoilt, however they are framed and however the transport cuts them.
    #[test]
    fn sound_chunks_pass_whole(
        chunks in prop::collection::vec(chunk(), 0..12), trailers in "([a-z]{1,8}: [a-z]{0,8}\r\n){0,3}",
        informational in 0_usize..3, lengths in prop::collection::vec(1_usize..200, 1..6),
    ) {
        let mut answer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(informational).into_bytes();
        answer.extend_from_slice(HEAD.as_bytes());
        let head_bytes = answer.len();
        let mut sent = Vec::new();
        for (data, size_line) in &chunks {
            answer.extend_from_slice(size_line.as_bytes());
            answer.extend_from_slice(data);
            answer.extend_from_slice(b"\r\n");
            sent.extend_from_slice(data);
        }
        answer.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
        let (output, fault) = follow(&answer, &lengths);
        prop_assert_eq!(fault, None);
        prop_assert_eq!(&output[..head_bytes], &answer[..head_bytes]);
        prop_assert_eq!(decoded(&output[head_bytes..]), sent);
        let end = format!("0\r\n{trailers}\r\n");
        prop_assert!(output.ends_with(end.as_bytes()));
    }

    /// Guards against a size beyond all answers that is found late, or not at each place and cut.
    #[test]
    fn a_size_beyond_all_answers_is_found_with_its_digits(
        chunks in prop::collection::vec(chunk(), 0..4), stated in MAX_STATED_BYTES + 1..=u64::MAX,
        lengths in prop::collection::vec(1_usize..200, 1..6),
    ) {
        let mut answer = HEAD.as_bytes().to_vec();
        for (data, size_line) in &chunks {
            answer.extend_from_slice(size_line.as_bytes());
            answer.extend_from_slice(data);
            answer.extend_from_slice(b"\r\n");
        }
        let digits = format!("{stated:x}");
        let digits_end = answer.len() + digits.len();
        answer.extend_from_slice(format!("{digits}\r\ndata: x\n\n").as_bytes());
        let (_, fault) = follow(&answer, &lengths);
        let (fault, arrived) = fault.expect("a fault");
        prop_assert_eq!(fault, FramingFault::ChunkTooLarge);
        prop_assert!(arrived < digits_end + lengths.iter().max().expect("a length"), "{} of {}", arrived, digits_end);
    }

    /// Guards against a panic, whatever arrives.
    #[test]
    fn noise_is_followed_or_refused(
        noise in prop::collection::vec(any::<u8>(), 0..600), has_head in any::<bool>(), lengths in prop::collection::vec(1_usize..90, 1..4),
    ) {
        let head = if has_head { HEAD } else { "" };
        follow(&[head.as_bytes(), &noise].concat(), &lengths);
    }
}

#[test]
fn faults_have_their_reasons() {
    let chunked = |rest: &str| fault_of(&format!("{HEAD}{rest}"));
    assert_eq!(chunked("x\r\n"), Some(FramingFault::UnreadableSize));
    assert_eq!(chunked("-5\r\n"), Some(FramingFault::UnreadableSize));
    assert_eq!(chunked("\r\n"), Some(FramingFault::UnreadableSize));
    assert_eq!(chunked("5 5\r\n"), Some(FramingFault::UnreadableSize));
    assert_eq!(chunked("fffffffffffffffffffff\r\n"), Some(FramingFault::ChunkTooLarge));
    assert_eq!(chunked("2\r\nabcd\r\n"), Some(FramingFault::ChunkWithoutEnd));
    assert_eq!(chunked(&"0".repeat(MAX_SIZE_LINE_BYTES + 1)), Some(FramingFault::SizeLineTooLong));
    assert_eq!(
        chunked(&format!("5;{}", "a".repeat(MAX_SIZE_LINE_BYTES))),
        Some(FramingFault::SizeLineTooLong)
    );
    assert_eq!(
        chunked(&format!("5{}", " ".repeat(MAX_SIZE_LINE_BYTES))),
        Some(FramingFault::SizeLineTooLong)
    );
    let length = |length: &str| fault_of(&format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"));
    assert_eq!(length("3000000000"), Some(FramingFault::LengthTooLarge));
    assert_eq!(length("300000"), None);
    assert_eq!(length("many"), None);
}

/// Guards against a fault of one answer that spoils the next one on the connection.
#[test]
fn each_answer_is_followed_by_itself() {
    let mut framing = AnswerFraming::default();
    let giant = format!("{HEAD}ffffffff\r\n");
    assert!(framing.follow(giant.as_bytes(), &mut Vec::new()).is_err());
    assert!(framing.follow(b"data", &mut Vec::new()).is_err());
    framing.expect_answer();
    let whole = format!("{HEAD}2\r\nab\r\n0\r\n\r\n");
    let mut output = Vec::new();
    assert_eq!(framing.follow(whole.as_bytes(), &mut output), Ok(()));
    assert_eq!(output, whole.as_bytes());
}

proptest! {
    /// Guards against chunks that a larger size in front swallows, and that are passed on as its data.
    #[test]
    fn a_chunk_within_the_data_of_another_is_found(
        first in "[a-z {}\":\n]{0,60}", inner in "[a-z {}\":\n]{1,60}", extension in "(;[a-z]{0,5})?",
        lengths in prop::collection::vec(1_usize..60, 1..5),
    ) {
        let start = format!("{HEAD}{:x}\r\n{first}\r\n{:x}{extension}\r\n{inner}\r", first.len() + 5_000, inner.len());
        prop_assert_eq!(follow(start.as_bytes(), &lengths).1, None);
        let fault = follow(format!("{start}\n").as_bytes(), &lengths).1;
        prop_assert_eq!(fault.map(|(fault, _)| fault), Some(FramingFault::ChunkWithinChunk));
    }
}

/// Guards against data that are taken for a chunk within a chunk.
#[test]
fn lines_that_only_look_like_a_size_are_data() {
    let texts = [
        "data: a\r\n: 5f\r\n\r\n",
        "data: b\r\nd\r\ndata: c\r\n\r\n",
        "[\r\n1,\r\n2\r\n]\r\n",
        "a\r\nbeef\r\n\r\n",
    ];
    for text in texts {
        let answer = format!("{HEAD}{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        for length in 1..answer.len() {
            assert_eq!(follow(answer.as_bytes(), &[length]), (answer.clone().into_bytes(), None), "{text:?}");
        }
    }
}
