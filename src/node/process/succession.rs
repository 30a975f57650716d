//! The link between two processes of one conductor in an upgrade: a Unix socket in `$TMPDIR`, over which the clients'
//! listening socket goes from the older to the newer.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::handover::{Effect, Handover, Hello, Message, Side, State};
use super::readiness::Happening;
use super::shutdown::Shutdown;
use crate::node::counters::add;
use crate::node::front::intake::Intake;
use crate::node::list::fleet::Fleet;
use crate::node::request_ids::RequestIds;
use crate::node::{Clock, to_duration};

/// For the other process to answer, before the newer starts on its own or the older hears the next.
const ANSWER: Duration = Duration::from_secs(1);
/// Longest line read: a list of some thousand instances.
const LINE_MOST: u64 = 4 * 1024 * 1024;
/// Told and not yet written. Each request is told of twice, and a process may be held up for 0.15 s.
const WAITING: usize = 8_192;

/// Why nothing was inherited.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Nobody is there, or the link broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Not what is meant to come.
    #[error("not understood: {0}")]
    Form(#[from] serde_json::Error),
    /// The other process gives nothing.
    #[error("the older process says: {0}")]
    Refused(String),
    /// Not this conductor's socket.
    #[error("no socket that listens at {0}")]
    Socket(SocketAddr),
    /// It ended, or said something out of turn.
    #[error("broken off")]
    Broken,
    /// Nothing came.
    #[error("silent")]
    Silent,
}

/// The reading half of a link.
type Lines = BufReader<OwnedReadHalf>;

/// The two ends of the link between an older and a newer process.
pub type Link = (Lines, OwnedWriteHalf);

async fn hear(lines: &mut Lines) -> Result<Message, LinkError> {
    let mut line = Vec::new();
    lines.take(LINE_MOST).read_until(b'\n', &mut line).await?;
    if line.last() != Some(&b'\n') {
        return Err(LinkError::Broken);
    }
    Ok(serde_json::from_slice(&line)?)
}

async fn say(half: &mut OwnedWriteHalf, message: &Message) -> Result<(), LinkError> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(half.write_all(&line).await?)
}

/// Writes one byte, and with it a socket.
async fn pass(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let sockets = [listener.as_fd()];
    let sent = stream.async_io(Interest::WRITABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
        let data = [IoSlice::new(b"L")];
        Ok(rustix::net::sendmsg(stream, &data, &mut ancillary, SendFlags::NOSIGNAL)?)
    });
    sent.await.map(drop)
}

/// Reads one byte, and the socket that comes with it, if one does.
async fn passed(stream: &UnixStream) -> io::Result<Option<OwnedFd>> {
    let got = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let mut data = [IoSliceMut::new(&mut byte)];
        rustix::net::recvmsg(stream, &mut data, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let sockets = ancillary.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
            _ => None,
        });
        Ok(sockets.flatten().next())
    });
    got.await
}

/// What the older process gave.
pub struct Inherited {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// What the older process knew.
    pub state: State,
    link: Link,
}

/// Asks an older process of this conductor, if there is one, for what it has.
pub async fn inherit(path: &PathBuf, hello: &Hello) -> Result<Inherited, LinkError> {
    let exchange = async {
        let stream = UnixStream::connect(path).await?;
        let mut asked = serde_json::to_vec(&Message::Hello(hello.clone()))?;
        asked.push(b'\n');
        let mut rest = &asked[..];
        while !rest.is_empty() {
            stream.writable().await?;
            match stream.try_write(rest) {
                Ok(n) => rest = &rest[n..],
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Err(fault.into()),
            }
        }
        let socket = passed(&stream).await?;
        let (read, write) = stream.into_split();
        let mut lines = BufReader::new(read);
        match hear(&mut lines).await? {
            Message::State(state) => {
                let listener = std::net::TcpListener::from(socket.ok_or(LinkError::Socket(hello.listen))?);
                if listener.local_addr().ok() != Some(hello.listen) {
                    return Err(LinkError::Socket(hello.listen));
                }
                listener.set_nonblocking(true)?;
                let listener = TcpListener::from_std(listener)?;
                Ok(Inherited { listener, state: *state, link: (lines, write) })
            }
            Message::Refused(why) => Err(LinkError::Refused(why)),
            _ => Err(LinkError::Broken),
        }
    };
    timeout(ANSWER, exchange).await.unwrap_or(Err(LinkError::Silent))
}

/// The ways to the other processes of an upgrade: at most one that was before, and one that comes after.
#[derive(Clone, Default)]
pub struct Partners(Rc<RefCell<[Option<mpsc::Sender<Message>>; 2]>>);

impl Partners {
    /// Tells the other processes, if there are any.
    pub fn tell(&self, message: &Message) {
        self.0.borrow_mut().iter_mut().for_each(|partner| deliver(partner, message));
    }

    /// Tells the process at the other end of one link, if there is one. `side` is this process's.
    pub fn tell_one(&self, side: Side, message: &Message) {
        deliver(&mut self.0.borrow_mut()[side as usize], message);
    }

    /// Tells the process on the other side of the one that said it.
    fn pass_on(&self, from: Side, message: &Message) {
        deliver(&mut self.0.borrow_mut()[1 - from as usize], message);
    }

    pub(crate) fn set(&self, side: Side, sender: Option<mpsc::Sender<Message>>) {
        self.0.borrow_mut()[side as usize] = sender;
    }
}

/// Tells another process, if there is one. One that takes nothing in breaks the link: it must not miss a ban and go on.
fn deliver(partner: &mut Option<mpsc::Sender<Message>>, message: &Message) {
    let is_told = partner.as_ref().is_none_or(|sender| sender.try_send(message.clone()).is_ok());
    if !is_told {
        tracing::warn!("handover: the other process takes nothing in, the link is broken off");
        partner.take();
    }
}

/// What a process hands over, and what the link acts on.
pub struct Estate {
    /// Who this is.
    pub hello: Hello,
    /// Its settings, as a digest.
    pub settings: u64,
    /// Its instances.
    pub fleet: Rc<Fleet>,
    /// Where it stands.
    pub shutdown: Shutdown,
    /// Its clients.
    pub intake: Rc<Intake>,
    /// Their listening socket, while it is open.
    pub listener: Weak<TcpListener>,
    /// Where discovery answers.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The other processes.
    pub partners: Partners,
    /// The ids of its requests.
    pub ids: Rc<RequestIds>,
    /// Upgrades under way.
    pub shares: Cell<u32>,
    /// The time.
    pub clock: Clock,
}

impl Estate {
    async fn act(&self, effect: Effect) {
        match effect {
            Effect::Share(part) => {
                let others = if part { self.shares.get() + 1 } else { self.shares.get().saturating_sub(1) };
                self.shares.set(others);
                self.intake.share(others > 0);
                self.fleet.core().upstream.pool().set_shared(others > 0);
            }
            Effect::Note(happening) => self.shutdown.note(happening),
            Effect::Ban(id) => drop(self.fleet.ban(&id).await),
            Effect::Lift(id) => drop(self.fleet.lift_ban(&id).await),
            Effect::HangUp => {}
        }
    }

    /// Joins the link to another process: from now on it is told what operators say here, and of ids if it shares them.
    fn join(&self, side: Side, shares_ids: bool) -> mpsc::Receiver<Message> {
        let (sender, told) = mpsc::channel(WAITING);
        self.partners.set(side, Some(sender));
        if shares_ids {
            self.ids.partner_joined(side);
        }
        told
    }

    /// Lives one upgrade through: until the other process is gone, or is given up.
    async fn live(
        &self, side: Side, shares_ids: bool, (mut lines, mut half): Link, mut told: mpsc::Receiver<Message>,
    ) {
        if side == Side::Older {
            self.intake.set_successor(true);
        }
        let (mut handover, begun) = Handover::begin(side, self.clock.now());
        for effect in begun {
            self.act(effect).await;
        }
        let (heard, mut news) = mpsc::channel(1);
        // A read that is broken off within a line would lose its beginning.
        let reading = tokio::task::spawn_local(async move {
            while let Ok(message) = hear(&mut lines).await {
                if heard.send(message).await.is_err() {
                    break;
                }
            }
        });
        loop {
            let wait = handover.due().map(|due| to_duration(due - self.clock.now()));
            let effects = tokio::select! {
                biased;
                message = told.recv() => match message {
                    Some(message) if say(&mut half, &message).await.is_ok() => continue,
                    _ => break,
                },
                message = news.recv() => match message {
                    Some(Message::Ids(message)) if shares_ids => {
                        self.ids.told(side, message);
                        continue;
                    }
                    Some(message) => {
                        if matches!(message, Message::Ban(_) | Message::Lift(_) | Message::Drain(_)) {
                            self.partners.pass_on(side, &message);
                        }
                        if message == Message::Serves && side == Side::Older && shares_ids {
                            self.ids.hand_over();
                        }
                        handover.told(message)
                    }
                    None => break,
                },
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => handover.waited(self.clock.now()),
            };
            let hang_up = effects.contains(&Effect::HangUp);
            for effect in effects {
                self.act(effect).await;
            }
            if hang_up {
                break;
            }
        }
        reading.abort();
        self.partners.set(side, None);
        if shares_ids {
            self.ids.partner_lost(side);
        }
        if side == Side::Older {
            self.intake.set_successor(false);
        }
        for effect in handover.lost() {
            self.act(effect).await;
        }
        tracing::info!(
            "handover: the {} process is gone",
            if side == Side::Older { "newer" } else { "older" }
        );
    }

    /// Goes on with the older process's link, from the start of this one: what operators say to either process concerns the other
    /// as long as that may send.
    pub fn succeed(self: &Rc<Self>, inherited: Link, shares_ids: bool) {
        add(&self.fleet.core().counters.inherited);
        let told = self.join(Side::Newer, shares_ids);
        let estate = self.clone();
        tokio::task::spawn_local(async move {
            estate.live(Side::Newer, shares_ids, inherited, told).await;
        });
    }

    /// Tells the older process that this one serves.
    pub fn tell_serves(&self) {
        self.partners.tell_one(Side::Newer, &Message::Serves);
    }

    /// Offers all to a newer process, then to the next, until this process has ended. The path belongs to the newest process that
    /// lives: a newer one that serves puts its own socket there, and this one takes the path back when that one has died.
    pub async fn offer(&self, path: PathBuf) {
        let mut meeting = match MeetingPoint::bind(path) {
            Ok(meeting) => meeting,
            Err(fault) => return tracing::warn!("handover: cannot be offered at {fault}"),
        };
        loop {
            match meeting.listener.accept().await {
                Ok((stream, _)) => {
                    self.hand_over(stream).await;
                    self.take_path_back(&mut meeting).await;
                }
                Err(fault) => {
                    tracing::warn!("handover: cannot be taken up: {fault}");
                    sleep(ANSWER).await;
                }
            }
        }
    }

    /// Gives all to a newer process, and lives the upgrade through.
    async fn hand_over(&self, stream: UnixStream) {
        match timeout(ANSWER, self.give(stream)).await {
            Ok(Ok((link, shares_ids))) => {
                tracing::info!("handover: a newer process has what there is");
                add(&self.fleet.core().counters.handed_over);
                let told = self.join(Side::Older, shares_ids);
                self.live(Side::Older, shares_ids, link, told).await;
            }
            Ok(Err(fault)) => tracing::warn!("handover: not given: {fault}"),
            Err(_) => tracing::warn!("handover: not given: {}", LinkError::Silent),
        }
    }

    /// Listens at the path again if a newer process has left a socket there that nobody listens at any more.
    async fn take_path_back(&self, meeting: &mut MeetingPoint) {
        if self.shutdown.readiness().ending() || !meeting.is_abandoned().await {
            return;
        }
        match MeetingPoint::bind(meeting.path.clone()) {
            Ok(own) => {
                *meeting = own;
                tracing::info!("handover: offered again at {}", meeting.path.display());
            }
            Err(fault) => tracing::warn!("handover: cannot be offered again at {fault}"),
        }
    }

    /// Gives all to a newer process. Returns the link to it, and whether it shares request ids.
    async fn give(&self, stream: UnixStream) -> Result<(Link, bool), LinkError> {
        let mut line = Vec::new();
        // Byte for byte up to the end of the line: the stream is needed whole to pass the socket.
        while line.last() != Some(&b'\n') {
            stream.readable().await?;
            let mut part = [0; 512];
            match stream.try_read(&mut part) {
                Ok(0) => return Err(LinkError::Broken),
                Ok(n) => line.extend_from_slice(&part[..n]),
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                Err(fault) => return Err(fault.into()),
            }
            if line.len() > 4_096 {
                return Err(LinkError::Broken);
            }
        }
        let Message::Hello(asker) = serde_json::from_slice(&line)? else { return Err(LinkError::Broken) };
        let refused = match (self.hello.admits(&asker), self.listener.upgrade()) {
            (Ok(()), Some(listener)) => pass(&stream, &listener).await.err().map(LinkError::Io),
            (Ok(()), None) => Some(LinkError::Socket(self.hello.listen)),
            (Err(refusal), _) => Some(LinkError::Refused(refusal.to_string())),
        };
        let (read, mut half) = stream.into_split();
        if let Some(refused) = refused {
            half.write_all(b"N").await?;
            say(&mut half, &Message::Refused(refused.to_string())).await?;
            return Err(refused);
        }
        let state = State {
            membership: self.fleet.membership(),
            drained: self.shutdown.readiness().drained(),
            discovery: *self.discovery.borrow(),
            learnt: self.fleet.core().planner.flush().await,
            now: Some(self.clock.now()),
            settings: self.settings,
            shares_ids: true,
        };
        say(&mut half, &Message::State(Box::new(state))).await?;
        Ok(((BufReader::new(read), half), asker.shares_ids))
    }
}

impl Inherited {
    /// Takes it apart: what the process starts with, and the link that goes on.
    pub fn parts(self) -> (TcpListener, State, Link) {
        (self.listener, self.state, self.link)
    }
}

/// Where a process listens for newer ones.
struct MeetingPoint {
    path: PathBuf,
    listener: UnixListener,
    /// The file that this process put at the path.
    inode: u64,
}

/// Why a process cannot listen at a path.
#[derive(Debug, thiserror::Error)]
#[error("{}: {fault}", path.display())]
struct BindError {
    path: PathBuf,
    fault: io::Error,
}

impl MeetingPoint {
    /// Listens at the path from one moment to the next, whatever was there: an older process's link, or what one left.
    fn bind(path: PathBuf) -> Result<Self, BindError> {
        let fresh = path.with_extension(std::process::id().to_string());
        let bound = || {
            let _ = std::fs::remove_file(&fresh);
            let listener = UnixListener::bind(&fresh)?;
            let inode = std::fs::symlink_metadata(&fresh)?.ino();
            std::fs::rename(&fresh, &path).inspect_err(|_| drop(std::fs::remove_file(&fresh)))?;
            Ok((listener, inode))
        };
        match bound() {
            Ok((listener, inode)) => Ok(MeetingPoint { path, listener, inode }),
            Err(fault) => Err(BindError { path, fault }),
        }
    }

    /// Returns whether the path no longer leads to this process, nor to another that lives. One that is stopped lives.
    async fn is_abandoned(&self) -> bool {
        let is_own = std::fs::symlink_metadata(&self.path).is_ok_and(|file| file.ino() == self.inode);
        let is_dead = |fault: &io::Error| {
            matches!(fault.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound)
        };
        !is_own && UnixStream::connect(&self.path).await.is_err_and(|fault| is_dead(&fault))
    }
}

/// Where a conductor's processes meet; nowhere without a `$TMPDIR`, as no folder is private then.
pub fn meeting_place(name: &str) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    let plain: String = name.chars().filter(char::is_ascii_alphanumeric).take(32).collect();
    Some(PathBuf::from(dir).join(format!("handover-{plain}")))
}

/// Takes a drain over from the older process.
pub fn take_over(shutdown: &Shutdown, state: &State) {
    if state.drained {
        shutdown.note(Happening::Drain);
    }
}

#[cfg(test)]
mod tests;
