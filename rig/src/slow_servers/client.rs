//! A client of either front that records when it got which part of its answer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::{Clock, Micros};

/// The longest for which a client reads: far beyond any time that a rule allows.
const READ_MOST: Duration = Duration::from_secs(30);

/// The front that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The chat completions protocol, with streamed events.
    Chat,
    /// The same, with the answer in one piece.
    ChatWhole,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// The front.
    pub front: Front,
    /// Its id; the chat front makes one of its own.
    pub id: String,
    /// Its class, which is the name of a model on the chat front, too.
    pub class: &'static str,
    /// How long its client waits for the first event; the chat front knows it from its file.
    pub patience: Duration,
    /// Length of its prompt in bytes.
    pub prompt_bytes: usize,
}

/// An exchange as its client saw it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's id as servers know it.
    pub id: String,
    /// When its last byte was written.
    pub sent: Micros,
    /// Status of the answer, if its head arrived.
    pub status: Option<u16>,
    /// When the head arrived.
    pub head_at: Option<Micros>,
    /// When each event was there whole.
    pub events: Vec<Micros>,
    /// When the answer or its connection ended.
    pub ended: Micros,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

impl Request {
    /// Returns what is written.
    pub fn text(&self) -> String {
        let is_stream = self.front != Front::ChatWhole;
        let body = format!(
            "{{\"model\":\"{}\",\"stream\":{is_stream},\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
            self.class,
            "b".repeat(self.prompt_bytes)
        );
        let fields = match self.front {
            Front::Platform => format!(
                "Request-Id: {}\r\nRequest-Class: {}\r\nAffinity-Key: s-{}\r\nRequest-Timeout-Ms: {}\r\n\
                 Request-Info: prompt_len=400,max_out=40\r\n",
                self.id,
                self.class,
                self.id,
                self.patience.as_millis()
            ),
            Front::Chat | Front::ChatWhole => "Content-Type: application/json\r\n".to_owned(),
        };
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends the request on a connection of its own, and reads until the answer or its connection ends.
    pub async fn send(&self, to: SocketAddr, clock: Clock) -> std::io::Result<Exchange> {
        let mut socket = TcpStream::connect(to).await?;
        socket.set_nodelay(true)?;
        socket.write_all(self.text().as_bytes()).await?;
        let sent = clock.now();
        let until = Instant::now() + READ_MOST;
        let mut answer = Answer::default();
        let mut buffer = [0; 16 * 1024];
        while !answer.is_whole() {
            match timeout_at(until, socket.read(&mut buffer)).await {
                Ok(Ok(read @ 1..)) => answer.push(&buffer[..read], clock.now()),
                _ => break,
            }
        }
        let id = answer.header("x-request-id").unwrap_or(&self.id).to_owned();
        Ok(Exchange {
            id,
            sent,
            status: answer.status(),
            head_at: answer.head_at,
            is_whole: answer.is_whole(),
            events: answer.events,
            ended: clock.now(),
        })
    }
}

/// What has come of an answer.
#[derive(Default)]
struct Answer {
    text: Vec<u8>,
    head: Option<String>,
    head_at: Option<Micros>,
    /// Bytes of `text` that were decoded.
    decoded: usize,
    body: Vec<u8>,
    events: Vec<Micros>,
    has_last_chunk: bool,
}

impl Answer {
    fn push(&mut self, bytes: &[u8], now: Micros) {
        self.text.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some(end) = find(&self.text, b"\r\n\r\n") else { return };
            self.head = Some(String::from_utf8_lossy(&self.text[..end]).into_owned());
            (self.head_at, self.decoded) = (Some(now), end + 4);
        }
        self.decode();
        let whole = count_events(&self.body);
        self.events.resize(whole, now);
    }

    /// Takes the chunks that are whole, or what has come of a body without chunks.
    fn decode(&mut self) {
        if self.header("transfer-encoding").is_none() {
            self.body.extend_from_slice(&self.text[self.decoded..]);
            self.decoded = self.text.len();
            return;
        }
        while let Some(line) = find(&self.text[self.decoded..], b"\r\n") {
            let size = String::from_utf8_lossy(&self.text[self.decoded..self.decoded + line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return };
            let begin = self.decoded + line + 2;
            if self.text.len() < begin + size + 2 {
                return;
            }
            self.body.extend_from_slice(&self.text[begin..begin + size]);
            self.decoded = begin + size + 2;
            self.has_last_chunk |= size == 0;
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.as_ref()?.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    fn status(&self) -> Option<u16> {
        self.head.as_ref()?.split(' ').nth(1)?.parse().ok()
    }

    fn is_whole(&self) -> bool {
        let length = self.header("content-length").and_then(|length| length.parse::<usize>().ok());
        self.has_last_chunk || length.is_some_and(|length| self.body.len() >= length)
    }
}

fn find(text: &[u8], wanted: &[u8]) -> Option<usize> {
    text.windows(wanted.len()).position(|part| part == wanted)
}

/// Counts the whole events of a body; a block of comments is none.
fn count_events(body: &[u8]) -> usize {
    // Lines may end with LF, CR and LF, or CR.
    let text = String::from_utf8_lossy(body).replace("\r\n", "\n").replace('\r', "\n");
    let mut blocks: Vec<_> = text.split("\n\n").collect();
    blocks.pop();
    blocks.iter().filter(|block| block.lines().any(|line| line.starts_with("data:"))).count()
}
