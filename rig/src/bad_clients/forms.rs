//! What bad clients send. No I/O.

use std::time::Duration;

const PIECE_BYTES: usize = 64 * 1024;
const SIXTY_MEGABYTES: usize = 60_000_000;
/// How often a piece that does not end is sent.
const ENDLESS: u32 = 2_000;
const SLOWLY: Duration = Duration::from_millis(20);
const BODY: &str = "{\"model\":\"climb-query\",\"stream\":true,\"max_tokens\":20,\"messages\":[]}";

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Nothing.
    Silent,
    /// Noise.
    Noise,
    /// A method or path that nobody knows.
    UnknownTarget,
    /// A line that does not end.
    EndlessLine,
    /// Fields that do not end, as fast as they are read.
    EndlessHead,
    /// The same, slowly.
    EndlessHeadSlowly,
    /// Half a head, and stays.
    HalfHead,
    /// Half a body, and stays.
    HalfBody,
    /// Half a request, and a close.
    HalfThenClose,
    /// A length that is no number.
    UnreadableLength,
    /// A negative length.
    NegativeLength,
    /// A length of gigabytes, and little of it.
    HugeLength,
    /// A length beyond what comes.
    TooLongLength,
    /// Two lengths that differ.
    TwoLengths,
    /// A length and chunks.
    LengthAndChunks,
    /// A body of 60 MB.
    SixtyMegabytes,
    /// A chunk whose size cannot be read.
    UnreadableChunk,
    /// A chunk of gigabytes that keeps coming, slowly.
    HugeChunk,
    /// A size of a chunk that does not end.
    EndlessChunkSize,
    /// A class that does not exist.
    UnknownClass,
    /// A time that is no number.
    UnreadableDeadline,
    /// A negative time.
    NegativeDeadline,
    /// No id.
    NoId,
}

/// Where on its connection a client is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// At its beginning.
    First,
    /// Behind a request that was served.
    BehindAnswer,
}

/// Bytes that are sent.
#[derive(Clone, Debug)]
pub struct Part {
    /// How long after the part before.
    pub pause: Duration,
    /// What is sent.
    pub bytes: Vec<u8>,
    /// How often.
    pub times: u32,
}

const ALL: [Form; 23] = [
    Form::Silent,
    Form::Noise,
    Form::UnknownTarget,
    Form::EndlessLine,
    Form::EndlessHead,
    Form::EndlessHeadSlowly,
    Form::HalfHead,
    Form::HalfBody,
    Form::HalfThenClose,
    Form::UnreadableLength,
    Form::NegativeLength,
    Form::HugeLength,
    Form::TooLongLength,
    Form::TwoLengths,
    Form::LengthAndChunks,
    Form::SixtyMegabytes,
    Form::UnreadableChunk,
    Form::HugeChunk,
    Form::EndlessChunkSize,
    Form::UnknownClass,
    Form::UnreadableDeadline,
    Form::NegativeDeadline,
    Form::NoId,
];

/// Returns every form at every stage.
pub fn all() -> Vec<(Form, Stage)> {
    let stages = [Stage::First, Stage::BehindAnswer];
    ALL.into_iter().flat_map(|form| stages.map(|stage| (form, stage))).collect()
}

fn once(text: impl Into<Vec<u8>>) -> Part {
    Part { pause: Duration::ZERO, bytes: text.into(), times: 1 }
}

fn endless(pause: Duration, text: impl Into<Vec<u8>>) -> Part {
    Part { pause, bytes: text.into(), times: ENDLESS }
}

/// A request's head with these fields changed; an empty value leaves one out.
fn head(id: &str, changes: &[(&str, &str)]) -> String {
    let length = BODY.len().to_string();
    let fields = [
        ("Host", "app.svc"),
        ("Request-Id", id),
        ("Request-Class", "climb-query"),
        ("Request-Timeout-Ms", "4000"),
        ("Request-Info", "prompt_len=400,max_out=40"),
        ("Content-Length", &length),
    ];
    let mut text = "POST /v1/chat/completions HTTP/1.1\r\n".to_owned();
    for (name, usual) in fields {
        let value = changes.iter().find(|(changed, _)| *changed == name).map_or(usual, |(_, value)| value);
        if !value.is_empty() {
            text += &format!("{name}: {value}\r\n");
        }
    }
    let added = changes.iter().filter(|(name, _)| !fields.iter().any(|(field, _)| field == name));
    added.for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text + "\r\n"
}

impl Form {
    /// Returns what the client sends in its request with this id.
    pub fn parts(self, id: &str) -> Vec<Part> {
        let changed = |changes: &[(&str, &str)], body: &str| vec![once(head(id, changes) + body)];
        let chunked = [("Content-Length", ""), ("Transfer-Encoding", "chunked")];
        let usual = head(id, &[]);
        match self {
            Form::Silent => Vec::new(),
            Form::Noise => vec![once(vec![0xfe; 900])],
            Form::UnknownTarget => vec![once("BREW /pot HTTP/1.1\r\nHost: app.svc\r\n\r\n")],
            Form::EndlessLine => vec![once("POST /"), endless(Duration::ZERO, vec![b'a'; PIECE_BYTES])],
            Form::EndlessHead => {
                let fields = "X-Field: value\r\n".repeat(PIECE_BYTES / 16);
                vec![once("POST / HTTP/1.1\r\n"), endless(Duration::ZERO, fields)]
            }
            Form::EndlessHeadSlowly => {
                vec![once("POST / HTTP/1.1\r\n"), endless(SLOWLY, "X-Field: value\r\n")]
            }
            Form::HalfHead => vec![once(&usual.as_bytes()[..usual.len() / 2])],
            Form::HalfBody | Form::HalfThenClose => vec![once(usual + &BODY[..BODY.len() / 2])],
            Form::UnreadableLength => changed(&[("Content-Length", "many")], BODY),
            Form::NegativeLength => changed(&[("Content-Length", "-5")], BODY),
            Form::HugeLength => changed(&[("Content-Length", "3000000000")], BODY),
            Form::TooLongLength => changed(&[("Content-Length", "2000")], BODY),
            Form::TwoLengths => {
                let twice = usual.replacen("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n", 1);
                vec![once(twice + BODY)]
            }
            Form::LengthAndChunks => changed(&[("Transfer-Encoding", "chunked")], "5\r\nabcde\r\n0\r\n\r\n"),
            Form::SixtyMegabytes => {
                let times = (SIXTY_MEGABYTES / PIECE_BYTES) as u32;
                let length = (times as usize * PIECE_BYTES).to_string();
                let body = Part { pause: Duration::ZERO, bytes: vec![b'b'; PIECE_BYTES], times };
                vec![once(head(id, &[("Content-Length", &length)])), body]
            }
            Form::UnreadableChunk => changed(&chunked, "size\r\nabcde\r\n0\r\n\r\n"),
            Form::HugeChunk => {
                vec![once(head(id, &chunked) + "b2d05e00\r\n"), endless(SLOWLY, "{\"a\":\"b\"}\n")]
            }
            Form::EndlessChunkSize => vec![once(head(id, &chunked) + "0"), endless(SLOWLY, "0")],
            Form::UnknownClass => changed(&[("Request-Class", "no-such-class")], BODY),
            Form::UnreadableDeadline => changed(&[("Request-Timeout-Ms", "soon")], BODY),
            Form::NegativeDeadline => changed(&[("Request-Timeout-Ms", "-4000")], BODY),
            Form::NoId => changed(&[("Request-Id", "")], BODY),
        }
    }
}
