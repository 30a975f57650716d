//! Answers that are spoilt: which bytes spoil them, at every stage of an answer. No I/O.

use std::time::Duration;

use super::script::{
    COMMENT, ENDLESS_STEPS, EVENT_BYTES, READ_ANSWER_BODY, STREAM_HEAD, Script, USUAL_PAUSE, chunk, event,
};

/// Bytes of a piece of noise that is written without a pause, and how many of them.
const NOISE_PIECE_BYTES: usize = 16 * 1024;
const NOISE_PIECES: u32 = 2_000;
/// Noise that is no text.
const NOISE_BYTE: u8 = 0xfe;
/// A size of gigabytes, as the platform's page names it.
pub const THREE_GIGABYTES: u64 = 3_000_000_000;

/// What spoils the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeadFault {
    /// Noise in its place.
    Noise,
    /// Text that is no head.
    Unreadable,
    /// Fields without an end, one at this interval.
    Endless(Duration),
    /// Informational answers without an end, one at this interval.
    EndlessInformational(Duration),
    /// A length of so many bytes, of which events come at their usual pace.
    Length(u64),
}

/// What spoils a chunk of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChunkFault {
    /// It states so many bytes, and events go on within it at this interval.
    StatesWithEvents(u64, Duration),
    /// It states so many bytes, and comments go on within it.
    StatesWithComments(u64),
    /// It states so many bytes, and text without an end of line follows as fast as it is read.
    StatesWithNoise(u64),
    /// It states so many bytes more than it has, and further chunks follow.
    StatesMore(u64),
    /// It states fewer bytes than it has.
    StatesLess,
    /// Its size is no number.
    Unreadable,
    /// Its size is negative.
    Negative,
    /// Its size has more digits than any length.
    Overflow,
    /// Its size has leading zeros without an end, one at this interval; a pause of zero is as fast as they are read.
    EndlessZeros(Duration),
    /// Spaces behind its size without an end.
    EndlessSpaces(Duration),
    /// An extension behind its size without an end.
    EndlessExtension(Duration),
    /// In its place the last chunk, with fields behind it that do not end.
    EndlessTrailers(Duration),
}

/// Where in an answer the fault lies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// In place of the first event, or of the body of an answer without events.
    BeforeFirstEvent,
    /// Behind so many events.
    BehindEvents(usize),
    /// Behind a chunk with half of an event.
    WithinEvent,
    /// In place of the last chunk, behind all events.
    InPlaceOfEnd,
}

/// How an answer is spoilt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoil {
    /// In its head.
    Head(HeadFault),
    /// In a chunk.
    Chunk(ChunkFault, Stage),
}

const HEAD_FAULTS: [HeadFault; 8] = [
    HeadFault::Noise,
    HeadFault::Unreadable,
    HeadFault::Endless(Duration::from_millis(100)),
    HeadFault::Endless(Duration::ZERO),
    HeadFault::EndlessInformational(Duration::from_millis(100)),
    HeadFault::EndlessInformational(Duration::ZERO),
    HeadFault::Length(THREE_GIGABYTES),
    HeadFault::Length(u64::MAX / 2),
];

const CHUNK_FAULTS: [ChunkFault; 20] = [
    ChunkFault::StatesWithEvents(THREE_GIGABYTES, USUAL_PAUSE),
    ChunkFault::StatesWithEvents(THREE_GIGABYTES, Duration::from_secs(2)),
    ChunkFault::StatesWithEvents(1_000_000_000, USUAL_PAUSE),
    ChunkFault::StatesWithEvents(u64::MAX, USUAL_PAUSE),
    ChunkFault::StatesWithComments(THREE_GIGABYTES),
    ChunkFault::StatesWithNoise(THREE_GIGABYTES),
    ChunkFault::StatesMore(2),
    ChunkFault::StatesMore(7),
    ChunkFault::StatesMore(60),
    ChunkFault::StatesMore(100_000),
    ChunkFault::StatesLess,
    ChunkFault::Unreadable,
    ChunkFault::Negative,
    ChunkFault::Overflow,
    ChunkFault::EndlessZeros(Duration::from_millis(50)),
    ChunkFault::EndlessZeros(Duration::ZERO),
    ChunkFault::EndlessSpaces(Duration::from_millis(50)),
    ChunkFault::EndlessExtension(Duration::from_millis(50)),
    ChunkFault::EndlessExtension(Duration::ZERO),
    ChunkFault::EndlessTrailers(Duration::from_millis(50)),
];

const STAGES: [Stage; 5] = [
    Stage::BeforeFirstEvent,
    Stage::BehindEvents(1),
    Stage::BehindEvents(20),
    Stage::WithinEvent,
    Stage::InPlaceOfEnd,
];

/// Returns every way in which an answer can be spoilt, at every stage.
pub fn all() -> Vec<Spoil> {
    let heads = HEAD_FAULTS.into_iter().map(Spoil::Head);
    let chunks = CHUNK_FAULTS.into_iter().flat_map(|fault| STAGES.map(|stage| Spoil::Chunk(fault, stage)));
    heads.chain(chunks).collect()
}

/// Returns the spoilt answer of a writer.
pub fn stream(spoil: Spoil) -> Script {
    let mut script = Script { steps: Vec::new(), is_whole: false };
    match spoil {
        Spoil::Head(fault) => push_head_fault(&mut script, fault, "text/event-stream"),
        Spoil::Chunk(fault, stage) => {
            script.push(Duration::ZERO, STREAM_HEAD, false);
            push_events_before(&mut script, stage);
            push_chunk_fault(&mut script, fault, &event(EVENT_BYTES));
        }
    }
    script
}

/// Returns the spoilt answer of a server that answers in one piece with this status and body.
pub fn whole(spoil: Spoil, status: &str, body: &str) -> Script {
    let mut script = Script { steps: Vec::new(), is_whole: false };
    match spoil {
        Spoil::Head(fault) => push_head_fault(&mut script, fault, "application/json"),
        Spoil::Chunk(fault, stage) => {
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            script.push(Duration::ZERO, head, false);
            if stage != Stage::BeforeFirstEvent {
                script.push_chunk(USUAL_PAUSE, &body[..body.len() / 2], false);
            }
            push_chunk_fault(&mut script, fault, body);
        }
    }
    script
}

/// Returns the spoilt answer of a reader.
pub fn read(spoil: Spoil) -> Script {
    whole(spoil, "202 Accepted", READ_ANSWER_BODY)
}

fn push_events_before(script: &mut Script, stage: Stage) {
    let usual = event(EVENT_BYTES);
    let events = match stage {
        Stage::BeforeFirstEvent => 0,
        Stage::BehindEvents(events) => events,
        Stage::WithinEvent | Stage::InPlaceOfEnd => 3,
    };
    (0..events).for_each(|_| script.push_chunk(USUAL_PAUSE, &usual, true));
    match stage {
        Stage::WithinEvent => script.push_chunk(USUAL_PAUSE, &usual[..EVENT_BYTES / 2], false),
        Stage::InPlaceOfEnd => script.push_chunk(USUAL_PAUSE, "data: [DONE]\n\n", true),
        _ => {}
    }
}

fn push_head_fault(script: &mut Script, fault: HeadFault, content_type: &str) {
    match fault {
        HeadFault::Noise => script.push_spoiling(USUAL_PAUSE, vec![NOISE_BYTE; 512]),
        HeadFault::Unreadable => script.push_spoiling(USUAL_PAUSE, "HTTP/1.1 two hundred\r\n"),
        HeadFault::Endless(interval) => {
            script.push_spoiling(USUAL_PAUSE, "HTTP/1.1 200 OK\r\n");
            repeat(script, interval, "x-field: value\r\n");
        }
        HeadFault::EndlessInformational(interval) => {
            script.push_spoiling(USUAL_PAUSE, "HTTP/1.1 100 Continue\r\n\r\n");
            repeat(script, interval, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        HeadFault::Length(length) => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\r\n"
            );
            script.push_spoiling(USUAL_PAUSE, head);
            repeat(script, USUAL_PAUSE, &event(EVENT_BYTES));
        }
    }
}

fn push_chunk_fault(script: &mut Script, fault: ChunkFault, data: &str) {
    let length = data.len();
    match fault {
        ChunkFault::StatesWithEvents(size, interval) => {
            script.push_spoiling(USUAL_PAUSE, format!("{size:x}\r\n"));
            repeat(script, interval, data);
        }
        ChunkFault::StatesWithComments(size) => {
            script.push_spoiling(USUAL_PAUSE, format!("{size:x}\r\n"));
            repeat(script, USUAL_PAUSE, COMMENT);
        }
        ChunkFault::StatesWithNoise(size) => {
            script.push_spoiling(USUAL_PAUSE, format!("{size:x}\r\n"));
            let noise = "x".repeat(NOISE_PIECE_BYTES);
            script.push_repeated(Duration::ZERO, noise, NOISE_PIECES);
        }
        ChunkFault::StatesMore(more) => {
            // What shows that the size is wrong is the end of the line in place of more data.
            script.push(USUAL_PAUSE, format!("{:x}\r\n{data}", length as u64 + more), true);
            script.push_spoiling(USUAL_PAUSE, "\r\n");
            script.push_repeated(USUAL_PAUSE, chunk(data), ENDLESS_STEPS);
        }
        ChunkFault::StatesLess => {
            script.push_spoiling(USUAL_PAUSE, format!("{:x}\r\n{data}\r\n", length - 10));
        }
        ChunkFault::Unreadable => script.push_spoiling(USUAL_PAUSE, format!("size\r\n{data}\r\n")),
        ChunkFault::Negative => script.push_spoiling(USUAL_PAUSE, format!("-5\r\n{data}\r\n")),
        ChunkFault::Overflow => {
            script.push_spoiling(USUAL_PAUSE, format!("{}\r\n{data}\r\n", "f".repeat(17)));
        }
        ChunkFault::EndlessZeros(interval) => {
            script.push_spoiling(USUAL_PAUSE, "0");
            repeat_line(script, interval, "0");
        }
        ChunkFault::EndlessSpaces(interval) => {
            script.push_spoiling(USUAL_PAUSE, format!("{length:x} "));
            repeat_line(script, interval, " ");
        }
        ChunkFault::EndlessExtension(interval) => {
            script.push_spoiling(USUAL_PAUSE, format!("{length:x};a="));
            repeat_line(script, interval, "b");
        }
        ChunkFault::EndlessTrailers(interval) => {
            script.push_spoiling(USUAL_PAUSE, "0\r\na: b\r\n");
            repeat(script, interval, "a: b\r\n");
        }
    }
}

fn repeat(script: &mut Script, interval: Duration, text: &str) {
    script.push_repeated(interval, text, ENDLESS_STEPS);
}

/// Adds parts of a line without an end: byte by byte at an interval, or in large pieces as fast as they are read.
fn repeat_line(script: &mut Script, interval: Duration, text: &str) {
    if !interval.is_zero() {
        return repeat(script, interval, text);
    }
    let piece = text.repeat(NOISE_PIECE_BYTES);
    script.push_repeated(Duration::ZERO, piece, NOISE_PIECES);
}
