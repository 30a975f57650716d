//! Answers in forms that HTTP and the pages allow, however unusual: each has to arrive whole. No I/O.

use std::time::Duration;

use super::script::{END_MARK, EVENT_BYTES, STREAM_HEAD, Script, USUAL_PAUSE, event};

/// Events of an answer that is long in its time, and of one whose chunks carry much beside their data.
const MANY_EVENTS: usize = 150;
/// Bytes of an extension of a chunk; over all chunks of an answer far more than a usual limit on heads.
const EXTENSION_BYTES: usize = 400;
/// Bytes of an event that is as long as a body of the platform may be.
const LARGEST_EVENT_BYTES: usize = 200_000;

/// Bytes of a piece of comments: no multiple of a comment's length.
const COMMENTS_PIECE_BYTES: usize = 337;

/// A form of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// Sizes with capital letters and leading zeros.
    PaddedSizes,
    /// Sizes with spaces and an extension behind them, in many chunks.
    Extensions,
    /// Fields behind the last chunk.
    Trailers,
    /// A chunk for each byte.
    ByteChunks,
    /// One chunk for the whole answer, whose events come with this pause.
    OneChunk(Duration),
    /// Several events in one chunk.
    ManyEventsInChunk,
    /// Every byte by itself, also those of sizes and ends, with this pause.
    ByteByByte(Duration),
    /// Lines that end with CR and LF.
    CrLfLines,
    /// Lines that end with CR alone.
    CrLines,
    /// A length in place of chunks.
    StatedLength,
    /// Neither chunks nor a length: the answer ends with its connection.
    UntilClose,
    /// Comments in front of the first event, more than is held, cut within their lines; some hold what looks like data.
    CommentsFirst,
    /// Informational answers in front.
    Informational,
    /// A second answer directly behind.
    SecondAnswer,
    /// A load report that cannot be read, in the head and at the end.
    UnreadableReport,
    /// A content type in capital letters with a parameter.
    CapitalType,
    /// Many events at this pace.
    Long(Duration),
    /// An event as long as a body may be, in pieces with this pause.
    LongEvent(Duration),
    /// Data lines that look like other parts of the answer.
    MisleadingData,
}

/// Every form.
pub const ALL: [Form; 20] = [
    Form::CommentsFirst,
    Form::PaddedSizes,
    Form::Extensions,
    Form::Trailers,
    Form::ByteChunks,
    Form::OneChunk(Duration::from_millis(900)),
    Form::ManyEventsInChunk,
    Form::ByteByByte(Duration::from_millis(1)),
    Form::CrLfLines,
    Form::CrLines,
    Form::StatedLength,
    Form::UntilClose,
    Form::Informational,
    Form::SecondAnswer,
    Form::UnreadableReport,
    Form::CapitalType,
    Form::Long(Duration::from_millis(60)),
    Form::Long(Duration::from_millis(5)),
    Form::LongEvent(Duration::from_millis(60)),
    Form::MisleadingData,
];

fn events() -> Vec<String> {
    let usual = event(EVENT_BYTES);
    vec![usual.clone(), usual.clone(), usual, END_MARK.into()]
}

/// Returns the answer of a writer in this form.
pub fn stream(form: Form) -> Script {
    let mut script = Script { steps: Vec::new(), is_whole: true };
    match form {
        Form::StatedLength | Form::UntilClose => push_without_chunks(&mut script, form),
        Form::ByteByByte(pause) => push_byte_by_byte(&mut script, pause),
        _ => {
            script.push(Duration::ZERO, head(form), false);
            push_body(&mut script, form);
            script.push(Duration::ZERO, end(form), false);
        }
    }
    script
}

fn head(form: Form) -> String {
    let changed = |from: &str, to: &str| STREAM_HEAD.replacen(from, to, 1);
    match form {
        Form::Informational => {
            let informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
            format!("{informational}{STREAM_HEAD}")
        }
        Form::UnreadableReport => changed("\r\n\r\n", "\r\nServer-Load: {\"inflight\":]\r\n\r\n"),
        Form::CapitalType => changed("text/event-stream", "Text/Event-Stream; Charset=UTF-8"),
        _ => STREAM_HEAD.into(),
    }
}

fn end(form: Form) -> String {
    match form {
        Form::PaddedSizes => "0000\r\n\r\n".into(),
        Form::Extensions => "0 ;last\r\n\r\n".into(),
        Form::Trailers => "0\r\nx-one: a\r\nx-two: b\r\n\r\n".into(),
        Form::SecondAnswer => format!("0\r\n\r\n{STREAM_HEAD}8\r\ndata: 2\n\r\n0\r\n\r\n"),
        Form::OneChunk(_) => "\r\n0\r\n\r\n".into(),
        _ => "0\r\n\r\n".into(),
    }
}

fn push_body(script: &mut Script, form: Form) {
    let all = events();
    match form {
        Form::PaddedSizes => {
            for event in all {
                script.push(USUAL_PAUSE, format!("0000{:X}\r\n{event}\r\n", event.len()), true);
            }
        }
        Form::Extensions => {
            let extension = "e".repeat(EXTENSION_BYTES);
            for event in vec![event(EVENT_BYTES); MANY_EVENTS].into_iter().chain([END_MARK.into()]) {
                let chunk = format!("{:x} ;a={extension};b=\"c\"\r\n{event}\r\n", event.len());
                script.push(Duration::from_millis(5), chunk, true);
            }
        }
        Form::ByteChunks => {
            for event in all {
                let chunks: String = event.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect();
                script.push(USUAL_PAUSE, chunks, true);
            }
        }
        Form::OneChunk(pause) => {
            script.push(USUAL_PAUSE, format!("{:x}\r\n", all.concat().len()), false);
            for (number, event) in all.into_iter().enumerate() {
                script.push(if number == 0 { USUAL_PAUSE } else { pause }, event, true);
            }
        }
        Form::CommentsFirst => {
            let comments = ": a comment that holds data: 1\n\n".repeat(1_000);
            for piece in comments.as_bytes().chunks(COMMENTS_PIECE_BYTES) {
                script.push_chunk(Duration::from_millis(1), &String::from_utf8_lossy(piece), false);
            }
            all.iter().for_each(|event| script.push_chunk(USUAL_PAUSE, event, true));
        }
        Form::ManyEventsInChunk => script.push_chunk(USUAL_PAUSE, &all.concat(), true),
        Form::CrLfLines => {
            all.iter().for_each(|event| script.push_chunk(USUAL_PAUSE, &event.replace('\n', "\r\n"), true))
        }
        Form::CrLines => {
            all.iter().for_each(|event| script.push_chunk(USUAL_PAUSE, &event.replace('\n', "\r"), true));
        }
        Form::UnreadableReport => {
            all.iter().for_each(|event| script.push_chunk(USUAL_PAUSE, event, true));
            script.push_chunk(USUAL_PAUSE, ": Server-Load: {\"inflight\":\n\n", false);
        }
        Form::Long(pause) => {
            let usual = event(EVENT_BYTES);
            (0..MANY_EVENTS).for_each(|_| script.push_chunk(pause, &usual, true));
            script.push_chunk(USUAL_PAUSE, END_MARK, true);
        }
        Form::LongEvent(pause) => {
            script.push_chunk(USUAL_PAUSE, &event(EVENT_BYTES), true);
            script.push_pieces(&event(LARGEST_EVENT_BYTES), 50, pause);
            script.push_chunk(USUAL_PAUSE, END_MARK, true);
        }
        Form::MisleadingData => {
            let misleading = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"0\\r\\n\\r\\nHTTP/1.1 200\"}}]}\n\n";
            for event in [all[0].as_str(), misleading, END_MARK] {
                script.push_chunk(USUAL_PAUSE, event, true);
            }
        }
        _ => all.iter().for_each(|event| script.push_chunk(USUAL_PAUSE, event, true)),
    }
}

fn push_without_chunks(script: &mut Script, form: Form) {
    let all = events();
    let framing = match form {
        Form::StatedLength => format!("Content-Length: {}", all.concat().len()),
        _ => "Connection: close".into(),
    };
    script.push(Duration::ZERO, STREAM_HEAD.replacen("Transfer-Encoding: chunked", &framing, 1), false);
    all.into_iter().for_each(|event| script.push(USUAL_PAUSE, event, true));
}

fn push_byte_by_byte(script: &mut Script, pause: Duration) {
    script.push_slowly(pause, STREAM_HEAD);
    for event in events() {
        script.push_slowly(pause, &format!("{:x}\r\n{event}", event.len()));
        // The event is whole with the byte before.
        script.push(Duration::ZERO, "\r", true);
        script.push_slowly(pause, "\n");
    }
    script.push_slowly(pause, "0\r\n\r\n");
}
