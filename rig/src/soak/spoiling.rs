//! How the network spoils what a server answers: at the end of a head or of a chunk's data it goes on with something else. No I/O.

use std::time::Duration;

/// End of a head, and of a chunk whose data end with a line.
const BOUNDARY: &[u8] = b"\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// An event that looks sound.
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"s\"},\"finish_reason\":null}]}\n\n";
/// Between two pieces of what comes in place of the answer.
pub const INTERVAL: Duration = Duration::from_millis(20);
/// How many pieces come: for longer than any client reads.
pub const PIECES: usize = 1_000;

/// What comes in place of the rest of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoiling {
    /// A chunk that states so many bytes, with events in it.
    States(u64),
    /// A size with leading zeros that do not end.
    EndlessSize,
    /// An extension that does not end.
    EndlessExtension,
    /// A size that is no number.
    UnreadableSize,
    /// A chunk that is longer than its size.
    TooLong,
}

/// All of them.
pub const ALL: [Spoiling; 6] = [
    Spoiling::States(3_000_000_000),
    Spoiling::States(u64::MAX),
    Spoiling::EndlessSize,
    Spoiling::EndlessExtension,
    Spoiling::UnreadableSize,
    Spoiling::TooLong,
];

impl Spoiling {
    /// What comes first.
    pub fn start(self) -> String {
        match self {
            Spoiling::States(size) => format!("{size:x}\r\n"),
            Spoiling::EndlessSize => "0".into(),
            Spoiling::EndlessExtension => "5;a=".into(),
            Spoiling::UnreadableSize => "size\r\n".into(),
            Spoiling::TooLong => "5\r\n".into(),
        }
    }

    /// What comes again and again behind it.
    pub fn piece(self) -> &'static str {
        match self {
            Spoiling::States(_) | Spoiling::UnreadableSize | Spoiling::TooLong => EVENT,
            Spoiling::EndlessSize => "0",
            Spoiling::EndlessExtension => "b",
        }
    }
}

/// Returns how many of these bytes pass before an answer can be spoilt, if it can be within them.
pub fn boundary(bytes: &[u8]) -> Option<usize> {
    // Behind its last chunk an answer is whole.
    let is_boundary = |end: &usize| {
        let text = &bytes[..*end];
        text.ends_with(BOUNDARY) && !text.ends_with(LAST_CHUNK)
    };
    (LAST_CHUNK.len()..=bytes.len()).find(is_boundary)
}

#[cfg(test)]
mod tests;
