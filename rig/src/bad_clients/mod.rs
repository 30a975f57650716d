//! Clients that send what cannot be served, at each stage of a connection, beside usual ones; and the rule on what they are owed.

pub mod forms;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use self::forms::{Form, Stage};
use crate::slow_servers::client::{Front, Request};
use crate::slow_servers::play::{Play, SlowServers, Started};
use crate::slow_servers::server::Manner;

/// Within which a bad client is owed an error or a close.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// The same where it has 60 MB to send.
const OWED_WITHIN_LARGE: Duration = Duration::from_secs(6);
/// By which each time limit grows on real sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// For how long a bad client waits at most.
const READ_MOST: Duration = Duration::from_secs(10);
/// How long usual clients wait for their first events.
const PATIENCE: Duration = Duration::from_secs(4);
/// Usual requests that go beside the bad ones.
const USUAL_REQUESTS: usize = 20;
/// Between two of them.
const USUAL_INTERVAL: Duration = Duration::from_millis(150);

/// What became of a bad client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// An answer with this status.
    Answered(u16),
    /// The end of its connection.
    Closed,
    /// Nothing.
    Nothing,
}

/// A bad client, and what became of it.
#[derive(Clone, Debug)]
pub struct Met {
    /// What it sent.
    pub form: Form,
    /// At which stage of its connection.
    pub stage: Stage,
    /// What it was told.
    pub told: Told,
    /// How long after the first byte that was bad, or after its connection where that sent nothing before.
    pub after: Duration,
    /// Whether servers got its request.
    pub is_forwarded: bool,
}

impl Met {
    /// Returns what breaks the rule on bad clients.
    pub fn finding(&self) -> Option<String> {
        let limit = if self.form == Form::SixtyMegabytes { OWED_WITHIN_LARGE } else { OWED_WITHIN };
        let what = match self.told {
            _ if self.is_forwarded => "its request was forwarded".to_owned(),
            Told::Answered(status) if status < 400 => format!("it was answered with {status}"),
            Told::Nothing => "it was told nothing".to_owned(),
            _ if self.after > limit + SOCKET_SLACK => {
                format!("it was told after {} ms", self.after.as_millis())
            }
            _ => return None,
        };
        Some(format!("{:?}, {:?}: {what}", self.form, self.stage))
    }
}

/// What came of a play.
pub struct Report {
    /// The bad clients.
    pub met: Vec<Met>,
    /// Usual requests whose answers did not come whole.
    pub usual_failed: usize,
    /// Usual requests.
    pub usual: usize,
}

impl Report {
    /// Returns all that breaks a rule.
    pub fn findings(&self) -> Vec<String> {
        let mut found: Vec<_> = self.met.iter().filter_map(Met::finding).collect();
        if self.usual_failed > 0 {
            found.push(format!(
                "{} of {} usual requests were not served whole",
                self.usual_failed, self.usual
            ));
        }
        found
    }
}

/// Plays every form at every stage, all at once, beside usual requests.
pub async fn play(program: &Path) -> std::io::Result<Report> {
    let play = Play {
        front: Front::Platform,
        manner: Manner::USUAL,
        slow: SlowServers::OneWriter,
        patience: PATIENCE,
        prompt_bytes: 200,
        requests: 0,
    };
    let mut started = play.set_up(program, None).await?;
    let to = started.conductor.place.clients;
    let mut bad = JoinSet::new();
    for (number, (form, stage)) in forms::all().into_iter().enumerate() {
        bad.spawn(meet(to, format!("bad-{number}"), form, stage));
    }
    let usual_failed = ask_usual(&started).await;
    let mut met = Vec::new();
    while let Some(Ok((id, result))) = bad.join_next().await {
        let mut one = result?;
        one.is_forwarded = started.record.attempts().iter().any(|attempt| attempt.id == id);
        met.push(one);
    }
    started.conductor.kill().await;
    Ok(Report { met, usual_failed, usual: USUAL_REQUESTS })
}

/// Sends usual requests one after the other, and returns how many were not served whole.
async fn ask_usual(started: &Started) -> usize {
    let mut failed = 0;
    for number in 0..USUAL_REQUESTS {
        let id = format!("usual-{number}");
        let to = started.conductor.place.clients;
        let exchange = usual(id).send(to, started.clock).await;
        failed +=
            usize::from(!exchange.is_ok_and(|exchange| exchange.status == Some(200) && exchange.is_whole));
        sleep(USUAL_INTERVAL).await;
    }
    failed
}

fn usual(id: String) -> Request {
    Request { front: Front::Platform, id, class: "climb-query", patience: PATIENCE, prompt_bytes: 200 }
}

async fn meet(to: SocketAddr, id: String, form: Form, stage: Stage) -> (String, std::io::Result<Met>) {
    let result = meet_on_connection(to, &id, form, stage).await;
    (id, result)
}

async fn meet_on_connection(to: SocketAddr, id: &str, form: Form, stage: Stage) -> std::io::Result<Met> {
    let mut socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    if stage == Stage::BehindAnswer {
        socket.write_all(usual(format!("{id}-before")).text().as_bytes()).await?;
        read_to_last_chunk(&mut socket).await?;
    }
    let begun = Instant::now();
    let (mut reading, mut writing) = socket.into_split();
    let parts = form.parts(id);
    let closes = form == Form::HalfThenClose;
    let writer = tokio::spawn(async move {
        for part in parts {
            for _ in 0..part.times {
                sleep(part.pause).await;
                if writing.write_all(&part.bytes).await.is_err() {
                    return None;
                }
            }
        }
        // The connection stays open, unless the client is one that leaves.
        (!closes).then_some(writing)
    });
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    let told = loop {
        match timeout_at(begun + READ_MOST, reading.read(&mut buffer)).await {
            Err(_) => break Told::Nothing,
            Ok(Ok(0) | Err(_)) => break Told::Closed,
            Ok(Ok(read)) => answer.extend_from_slice(&buffer[..read]),
        }
        if let Some(status) = status(&answer).filter(|status| *status >= 200) {
            break Told::Answered(status);
        }
    };
    let after = begun.elapsed();
    writer.abort();
    Ok(Met { form, stage, told, after, is_forwarded: false })
}

fn status(answer: &[u8]) -> Option<u16> {
    let line = answer.split(|&byte| byte == b'\n').next()?;
    std::str::from_utf8(line).ok()?.split(' ').nth(1)?.parse().ok()
}

async fn read_to_last_chunk(socket: &mut TcpStream) -> std::io::Result<()> {
    let (mut text, mut buffer) = (Vec::new(), [0; 4_096]);
    while !text.ends_with(b"0\r\n\r\n") {
        let read = timeout(READ_MOST, socket.read(&mut buffer)).await??;
        if read == 0 {
            return Err(std::io::Error::other("the usual request in front was not served"));
        }
        text.extend_from_slice(&buffer[..read]);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
