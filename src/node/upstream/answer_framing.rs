//! Follows how the bytes of an instance's answers are framed: heads, stated lengths and chunks (RFC 9112, sections 6
//! and 7). Rejects framing that no answer can keep to, which the HTTP library accepts: it passes on what has come of a
//! chunk, whatever size the chunk states. No I/O.

mod embedded_chunk;

use bytes::{BufMut, BytesMut};
use httparse::{EMPTY_HEADER, Header, Response, Status};
use hyper::StatusCode;

use self::embedded_chunk::EmbeddedChunk;

/// Largest chunk, and largest stated length of a body. A body of the platform holds 256 KiB at most.
pub const MAX_STATED_BYTES: u64 = 16 * 1024 * 1024;
/// Longest line that states a chunk's size: digits, spaces and extensions.
pub const MAX_SIZE_LINE_BYTES: usize = 16 * 1024;
/// Longest head that is followed; the HTTP library rejects shorter ones already.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most fields of a head that is followed, as in the HTTP library.
const MAX_HEADERS: usize = 100;
const RADIX: u64 = 16;

/// Why an answer cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingFault {
    /// A chunk states more bytes than any answer holds.
    #[error("a chunk states too large a size")]
    ChunkTooLarge,
    /// The head states a longer body than any answer has.
    #[error("the stated length is too large")]
    LengthTooLarge,
    /// The size of a chunk is not a number.
    #[error("the size of a chunk cannot be read")]
    UnreadableSize,
    /// The line with the size of a chunk does not end.
    #[error("the line with a chunk's size is too long")]
    SizeLineTooLong,
    /// The data of a chunk are not followed by the end of a line.
    #[error("a chunk does not end where its size says")]
    ChunkWithoutEnd,
    /// Within the data of a chunk its end and a further chunk were found: its size is too large.
    #[error("a chunk holds another one")]
    ChunkWithinChunk,
}

/// Where in the framing the next byte lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Size {
        size: u64,
        line_bytes: usize,
    },
    SizeRest {
        size: u64,
        line_bytes: usize,
        in_extension: bool,
    },
    SizeLineFeed {
        size: u64,
    },
    Data {
        remaining: u64,
    },
    DataCarriageReturn,
    DataLineFeed,
    /// Trailers, a body without chunks, or bytes that the HTTP library has to judge.
    Unfollowed,
}

/// How far the framing of an answer was followed, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FramingProgress {
    /// Size that the latest chunk stated, in bytes.
    pub chunk_stated: u64,
    /// Bytes of that chunk's data that have arrived.
    pub chunk_received: u64,
    /// Why the answer cannot be read on.
    pub fault: Option<FramingFault>,
}

/// Follows the answers of one connection.
#[derive(Debug)]
pub struct AnswerFraming {
    state: State,
    /// The head as far as it has come.
    head: BytesMut,
    /// Looks for a further chunk within the data of the latest one.
    embedded_chunk: EmbeddedChunk,
    progress: FramingProgress,
}

impl Default for AnswerFraming {
    fn default() -> Self {
        AnswerFraming {
            state: State::Head,
            head: BytesMut::new(),
            embedded_chunk: EmbeddedChunk::default(),
            progress: FramingProgress::default(),
        }
    }
}

impl AnswerFraming {
    /// Returns how far the latest answer was followed.
    pub fn progress(&self) -> FramingProgress {
        self.progress
    }

    /// Prepares for the answer to the connection's next request.
    pub fn expect_answer(&mut self) {
        *self = AnswerFraming::default();
    }

    /// Stops following: nobody reads the answer.
    pub fn stop(&mut self) {
        self.state = State::Unfollowed;
    }

    /// Takes bytes that arrived, and gives `output` those that the HTTP library is to read. What stands behind a
    /// chunk's size on its line is left out: the library allows only so much of it in a whole answer. In front of a
    /// fault, `output` gets the bytes up to it.
    pub fn follow(&mut self, input: &[u8], output: &mut impl BufMut) -> Result<(), FramingFault> {
        if let Some(fault) = self.progress.fault {
            return Err(fault);
        }
        self.follow_parts(input, output).inspect_err(|&fault| self.progress.fault = Some(fault))
    }

    fn follow_parts(&mut self, mut input: &[u8], output: &mut impl BufMut) -> Result<(), FramingFault> {
        while !input.is_empty() {
            let taken = match self.state {
                State::Unfollowed => {
                    output.put_slice(input);
                    return Ok(());
                }
                State::Head => self.follow_head(input, output)?,
                State::Data { remaining } => self.follow_data(input, remaining, output)?,
                _ => {
                    self.follow_byte(input[0], output)?;
                    1
                }
            };
            input = &input[taken..];
        }
        Ok(())
    }

    /// Takes bytes up to the end of a head, and returns how many.
    fn follow_head(&mut self, input: &[u8], output: &mut impl BufMut) -> Result<usize, FramingFault> {
        let held_bytes = self.head.len();
        self.head.extend_from_slice(input);
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let parsed = response.parse(&self.head);
        let Ok(Status::Complete(head_bytes)) = parsed else {
            output.put_slice(input);
            if parsed.is_err() || self.head.len() > MAX_HEAD_BYTES {
                self.state = State::Unfollowed;
            }
            return Ok(input.len());
        };
        let body = body_state(response.code, response.headers);
        let taken = head_bytes - held_bytes;
        output.put_slice(&input[..taken]);
        self.head = BytesMut::new();
        self.state = body?;
        Ok(taken)
    }

    /// Takes data of a chunk, and returns how many bytes.
    fn follow_data(
        &mut self, input: &[u8], remaining: u64, output: &mut impl BufMut,
    ) -> Result<usize, FramingFault> {
        let taken = usize::try_from(remaining).unwrap_or(usize::MAX).min(input.len());
        let found_at = input[..taken].iter().position(|&byte| self.embedded_chunk.follow(byte));
        if let Some(found_at) = found_at {
            output.put_slice(&input[..found_at]);
            return Err(FramingFault::ChunkWithinChunk);
        }
        output.put_slice(&input[..taken]);
        self.progress.chunk_received += taken as u64;
        self.state = match remaining - taken as u64 {
            0 => State::DataCarriageReturn,
            remaining => State::Data { remaining },
        };
        Ok(taken)
    }

    /// Takes one byte around the data of a chunk.
    fn follow_byte(&mut self, byte: u8, output: &mut impl BufMut) -> Result<(), FramingFault> {
        let next = match (self.state, byte) {
            (State::Size { size, line_bytes }, _) => self.follow_size(size, line_bytes, byte)?,
            (State::SizeRest { size, .. }, b'\r') => State::SizeLineFeed { size },
            (State::SizeRest { .. }, b'\n') => return Err(FramingFault::UnreadableSize),
            (State::SizeRest { size, line_bytes, in_extension }, _) => {
                let in_extension = in_extension || byte == b';';
                if !in_extension && !is_space(byte) {
                    return Err(FramingFault::UnreadableSize);
                }
                State::SizeRest { size, line_bytes: next_line_length(line_bytes)?, in_extension }
            }
            (State::SizeLineFeed { size }, b'\n') => self.begin_chunk(size),
            (State::SizeLineFeed { .. }, _) => return Err(FramingFault::UnreadableSize),
            (State::DataCarriageReturn, b'\r') => State::DataLineFeed,
            (State::DataLineFeed, b'\n') => State::Size { size: 0, line_bytes: 0 },
            _ => return Err(FramingFault::ChunkWithoutEnd),
        };
        if !matches!(next, State::SizeRest { .. }) {
            output.put_u8(byte);
        }
        self.state = next;
        Ok(())
    }

    /// Takes a byte of a chunk's size, or the first one behind it.
    fn follow_size(&mut self, size: u64, line_bytes: usize, byte: u8) -> Result<State, FramingFault> {
        let next_line_bytes = next_line_length(line_bytes)?;
        if let Some(digit) = char::from(byte).to_digit(RADIX as u32) {
            let size = size * RADIX + u64::from(digit);
            self.progress.chunk_stated = size;
            self.progress.chunk_received = 0;
            if size > MAX_STATED_BYTES {
                return Err(FramingFault::ChunkTooLarge);
            }
            return Ok(State::Size { size, line_bytes: next_line_bytes });
        }
        match byte {
            _ if line_bytes == 0 => Err(FramingFault::UnreadableSize),
            b'\r' => Ok(State::SizeLineFeed { size }),
            _ if is_space(byte) || byte == b';' => {
                Ok(State::SizeRest { size, line_bytes: next_line_bytes, in_extension: byte == b';' })
            }
            _ => Err(FramingFault::UnreadableSize),
        }
    }

    /// Begins the data of a chunk of this size; the last chunk has none, and trailers follow it.
    fn begin_chunk(&mut self, size: u64) -> State {
        self.embedded_chunk = EmbeddedChunk::default();
        match size {
            0 => State::Unfollowed,
            remaining => State::Data { remaining },
        }
    }
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}

/// Returns the length of a size line with one more byte.
fn next_line_length(line_bytes: usize) -> Result<usize, FramingFault> {
    if line_bytes < MAX_SIZE_LINE_BYTES { Ok(line_bytes + 1) } else { Err(FramingFault::SizeLineTooLong) }
}

/// Returns where the body of an answer with this status and these headers begins.
fn body_state(status: Option<u16>, headers: &[Header<'_>]) -> Result<State, FramingFault> {
    let status = status.and_then(|code| StatusCode::from_u16(code).ok()).unwrap_or_default();
    if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
        return Ok(State::Head);
    }
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(State::Unfollowed);
    }
    let last_value = |name: &str| {
        let header = headers.iter().rfind(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    if let Some(codings) = last_value("transfer-encoding") {
        let is_chunked =
            codings.rsplit(',').next().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
        return Ok(if is_chunked { State::Size { size: 0, line_bytes: 0 } } else { State::Unfollowed });
    }
    let length = last_value("content-length").and_then(|value| value.trim().parse::<u64>().ok());
    match length {
        Some(length) if length > MAX_STATED_BYTES => Err(FramingFault::LengthTooLarge),
        _ => Ok(State::Unfollowed),
    }
}

#[cfg(test)]
mod tests;
