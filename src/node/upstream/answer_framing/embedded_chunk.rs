//! Finds a whole chunk within the data of another one: the end of a line, a size, and behind as many bytes the end of a
//! line again. It stands there where the outer chunk states more bytes than it has. No I/O.

use super::{MAX_STATED_BYTES, RADIX};

/// How much of an inner chunk the latest bytes may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Match {
    #[default]
    Nothing,
    CarriageReturn,
    LineStart,
    Size(u64),
    Extension(u64),
    SizeLineFeed(u64),
    /// Bytes of data that are missing.
    Data(u64),
    EndCarriageReturn,
    EndLineFeed,
}

/// Looks for an inner chunk, byte by byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmbeddedChunk(Match);

impl EmbeddedChunk {
    /// Takes the next byte of the data, and returns whether it completes an inner chunk.
    pub fn follow(&mut self, byte: u8) -> bool {
        let is_complete = self.0 == Match::EndLineFeed && byte == b'\n';
        self.0 = self.0.next(byte);
        is_complete
    }
}

impl Match {
    fn next(self, byte: u8) -> Match {
        let digit = char::from(byte).to_digit(RADIX as u32).map(u64::from);
        match (self, byte) {
            (Match::Data(remaining), _) => after_data(remaining - 1),
            (Match::EndCarriageReturn, b'\r') => Match::EndLineFeed,
            (Match::CarriageReturn, b'\n') => Match::LineStart,
            (Match::LineStart, _) if digit.is_some() => with_digit(0, digit),
            (Match::Size(size), _) if digit.is_some() => with_digit(size, digit),
            (Match::Size(size) | Match::Extension(size), b'\r') => Match::SizeLineFeed(size),
            (Match::Size(size), b' ' | b'\t' | b';') => Match::Extension(size),
            (Match::Extension(_), b'\n') => Match::Nothing,
            (Match::Extension(size), _) => Match::Extension(size),
            (Match::SizeLineFeed(size), b'\n') => after_data(size),
            (_, b'\r') => Match::CarriageReturn,
            _ => Match::Nothing,
        }
    }
}

fn after_data(remaining: u64) -> Match {
    if remaining == 0 { Match::EndCarriageReturn } else { Match::Data(remaining) }
}

fn with_digit(size: u64, digit: Option<u64>) -> Match {
    let size = size * RADIX + digit.unwrap_or_default();
    if size > MAX_STATED_BYTES { Match::Nothing } else { Match::Size(size) }
}
