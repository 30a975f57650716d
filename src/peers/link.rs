//! Links between conductors: each sends on connections that it opens itself, and hears on those that others open.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use rand::RngExt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{FRAME_MOST, Hello, PeerMessage};
use crate::control::state::Session;
use crate::ledger::types::{decode, encode};

/// For a connection to come up, and for each hello. One that was begun while the network was cut is given up this soon.
const MEET: Duration = Duration::from_millis(500);
/// For a word to be written. A peer that is stopped or cut off takes none.
const WRITE: Duration = Duration::from_millis(2_000);
/// Between attempts to connect: it grows from the first to the last, with jitter, so that a peer that returns is not
/// met by all at the same moment.
const AGAIN: (u64, u64) = (30, 500);
/// Words that wait for a link; more are dropped, as they would come too late.
const WAITING: usize = 256;
/// Connections heard at once.
const HEARD_MOST: usize = 2_048;

/// What links tell.
#[derive(Debug)]
pub enum LinkEvent {
    /// A word of this peer.
    Message(String, Box<PeerMessage>),
    /// This peer's address refused a connection. The session is the one known before it was begun.
    Refused(String, Option<Session>),
    /// The link to this peer is up.
    Up(String),
    /// The link to this peer ended.
    Down(String),
}

type Wire<S> = Framed<S, LengthDelimitedCodec>;

fn framed<S: AsyncRead + AsyncWrite>(socket: S) -> Wire<S> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_MOST).new_codec();
    Framed::new(socket, codec)
}

async fn next<S: AsyncRead + AsyncWrite + Unpin>(wire: &mut Wire<S>) -> Option<bytes::BytesMut> {
    std::future::poll_fn(|cx| futures_util::Stream::poll_next(std::pin::Pin::new(&mut *wire), cx)).await?.ok()
}

async fn meet<S: AsyncRead + AsyncWrite + Unpin>(wire: &mut Wire<S>) -> Option<Hello> {
    let frame = timeout(MEET, next(wire)).await.ok()??;
    decode(&frame).ok()
}

/// Hears others, for ever. A connection that does not begin with a fitting hello, or goes on with anything but words, is
/// closed; that touches nothing else.
pub async fn hear(
    listener: TcpListener, cluster: Rc<str>, me: Rc<str>, version: u16, news: mpsc::Sender<LinkEvent>,
) {
    let permits = std::sync::Arc::new(Semaphore::new(HEARD_MOST));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(fault) => {
                tracing::warn!("peers: cannot accept a link: {fault}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let (cluster, me, news) = (cluster.clone(), me.clone(), news.clone());
        spawn_local(async move {
            let _permit = permit;
            let _ = socket.set_nodelay(true);
            let mut wire = framed(socket);
            let Some(hello) = meet(&mut wire).await else { return };
            let answer = Hello { version, ..Hello::new(&cluster, &me, &hello.name) };
            if wire.send(Bytes::from(encode(&answer))).await.is_err() {
                return;
            }
            if let Some(fault) = hello.fault(&cluster, &me) {
                return tracing::warn!("peers: turned away a link: it {fault}");
            }
            while let Some(frame) = next(&mut wire).await {
                let Ok(word) = decode(&frame) else {
                    return tracing::warn!("peers: {} sent what is no word; its link is closed", hello.name);
                };
                if news.send(LinkEvent::Message(hello.name.clone(), Box::new(word))).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The links to others.
pub struct Links {
    cluster: Rc<str>,
    me: Rc<str>,
    version: u16,
    news: mpsc::Sender<LinkEvent>,
    ways: BTreeMap<String, Way>,
    /// Live sessions as far as known here, for proofs of an end.
    sessions: Rc<RefCell<BTreeMap<String, Session>>>,
    /// Words and bytes sent.
    sent: Rc<RefCell<(u64, u64)>>,
}

struct Way {
    address: (SocketAddr, bool),
    words: mpsc::Sender<PeerMessage>,
    task: JoinHandle<()>,
}

impl Drop for Way {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    /// No links yet.
    pub fn new(cluster: Rc<str>, me: Rc<str>, version: u16, news: mpsc::Sender<LinkEvent>) -> Self {
        let (sessions, sent) = Default::default();
        Links { cluster, me, version, news, ways: BTreeMap::new(), sessions, sent }
    }

    /// Takes in who there is, where, and whose sessions live.
    pub fn know(&mut self, peers: BTreeMap<String, (SocketAddr, bool)>, sessions: BTreeMap<String, Session>) {
        *self.sessions.borrow_mut() = sessions;
        self.ways.retain(|name, way| peers.get(name) == Some(&way.address));
        for (name, way) in peers {
            if *name == *self.me || self.ways.contains_key(&name) {
                continue;
            }
            let (words, waiting) = mpsc::channel(WAITING);
            let task = Sender {
                hello: Hello { version: self.version, ..Hello::new(&self.cluster, &self.me, &name) },
                name: name.clone(),
                address: way.0,
                refusal_proves: way.1,
                news: self.news.clone(),
                sessions: self.sessions.clone(),
                sent: self.sent.clone(),
            };
            self.ways.insert(name, Way { address: way, words, task: spawn_local(task.run(waiting)) });
        }
    }

    /// Sends a word, or drops it where the link is down or slow.
    pub fn send(&self, to: &str, word: PeerMessage) {
        if let Some(way) = self.ways.get(to) {
            let _ = way.words.try_send(word);
        }
    }

    /// All that there are links to.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.ways.keys().map(String::as_str)
    }

    /// Words and bytes sent so far.
    pub fn sent(&self) -> (u64, u64) {
        *self.sent.borrow()
    }
}

struct Sender {
    hello: Hello,
    name: String,
    address: SocketAddr,
    /// When the address refuses connections, the peer's process has ended.
    refusal_proves: bool,
    news: mpsc::Sender<LinkEvent>,
    sessions: Rc<RefCell<BTreeMap<String, Session>>>,
    sent: Rc<RefCell<(u64, u64)>>,
}

impl Sender {
    /// Connects when there is something to say, and again when that breaks.
    async fn run(self, mut words: mpsc::Receiver<PeerMessage>) {
        let mut wait = AGAIN.0;
        while let Some(first) = words.recv().await {
            let known = self.sessions.borrow().get(&self.name).copied();
            let connected = match timeout(MEET, TcpStream::connect(self.address)).await {
                Ok(Ok(socket)) => self.greet(socket).await,
                Ok(Err(fault))
                    if self.refusal_proves && fault.kind() == std::io::ErrorKind::ConnectionRefused =>
                {
                    let _ = self.news.send(LinkEvent::Refused(self.name.clone(), known)).await;
                    None
                }
                _ => None,
            };
            if let Some((wire, version)) = connected {
                wait = AGAIN.0;
                let _ = self.news.send(LinkEvent::Up(self.name.clone())).await;
                self.carry(wire, version, first, &mut words).await;
            }
            let _ = self.news.send(LinkEvent::Down(self.name.clone())).await;
            let jitter = rand::rng().random_range(0.5..1.5);
            sleep(Duration::from_millis((wait as f64 * jitter) as u64)).await;
            wait = (wait * 2).min(AGAIN.1);
            // What has waited since is late.
            while words.try_recv().is_ok() {}
        }
    }

    async fn greet(&self, socket: TcpStream) -> Option<(Wire<TcpStream>, u16)> {
        let _ = socket.set_nodelay(true);
        let mut wire = framed(socket);
        wire.send(Bytes::from(encode(&self.hello))).await.ok()?;
        let answer = meet(&mut wire).await?;
        if let Some(fault) = answer.fault(&self.hello.cluster, &self.hello.name) {
            tracing::warn!("peers: {} at {} {fault}", self.name, self.address);
            return None;
        }
        (answer.name == self.name).then_some((wire, answer.version.min(self.hello.version)))
    }

    async fn carry(
        &self, mut wire: Wire<TcpStream>, version: u16, first: PeerMessage,
        words: &mut mpsc::Receiver<PeerMessage>,
    ) {
        let mut word = first;
        loop {
            if word.since() > version {
                // The other would not know it.
                word = match words.recv().await {
                    Some(word) => word,
                    None => return,
                };
                continue;
            }
            let frame = encode(&word);
            if frame.len() > FRAME_MOST {
                tracing::error!("peers: a word of {} bytes is too long for a frame", frame.len());
                return;
            }
            self.sent.replace_with(|(words, bytes)| (*words + 1, *bytes + frame.len() as u64 + 4));
            let Ok(Ok(())) = timeout(WRITE, wire.send(Bytes::from(frame))).await else { return };
            word = tokio::select! {
                biased;
                word = words.recv() => match word {
                    Some(word) => word,
                    None => return,
                },
                // Nothing is said this way: that it can be read means that it has ended.
                _ = next(&mut wire) => return,
            };
        }
    }
}
