//! A network that breaks as it is told. Each link stands between one party and the address of another, and each connection over it
//! is relayed byte by byte, so that it can fall silent with no error, come up late, be cut in pieces, reset or half closed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::spoiling::{self, Spoiling};
use crate::{Clock, Micros};

/// Bytes read at once.
const BUFFER: usize = 16 * 1024;
/// Size of a piece, and the pause behind it, where a connection passes its bytes in pieces.
const PIECE: (usize, Duration) = (97, Duration::from_millis(1));

/// Which way bytes go on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From who connected.
    Up,
    /// Back.
    Down,
}

/// What becomes of bytes, and of the end of a connection behind them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passing {
    /// They pass.
    #[default]
    Passes,
    /// They wait until that changes.
    Waits,
    /// They are lost, and nobody is told.
    Lost,
}

/// What a link does, from now on, to all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// To bytes of who connected.
    pub up: Passing,
    /// To bytes that go back.
    pub down: Passing,
    /// Connections opened before this one, by their numbers, lose everything.
    pub lost_before: u64,
    /// For so long a new connection is accepted and not passed on.
    pub late: Duration,
}

/// Trouble of one connection at one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It falls silent for good.
    Silence,
    /// It falls silent for so long.
    Pause(Duration),
    /// Both sides are reset.
    Reset,
    /// The end of this way is told, the other goes on.
    HalfClose,
    /// What follows goes in pieces.
    Pieces,
    /// The end of the connection is not passed on.
    KeepsEnd,
    /// From the next end of a head or chunk on something else comes.
    Spoils(Spoiling),
}

/// What befalls one connection: after so many bytes of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Of which way.
    pub way: Way,
    /// After so many bytes.
    pub after: u64,
    /// What happens.
    pub trouble: Trouble,
}

/// Draws what befalls a connection, by its number on the link.
pub type Planner = Arc<dyn Fn(u64) -> Option<Plan> + Send + Sync>;

/// One connection over a link.
#[derive(Debug, Default)]
pub struct Connection {
    /// Its number on the link.
    pub number: u64,
    /// What befalls it.
    pub plan: Option<Plan>,
    /// When who connected opened it.
    pub opened: Micros,
    /// When it first ended for who connected, by its own close or by a reset of the network; 0 while it has not.
    near_ended: AtomicU64,
    /// When the link read the last byte from who connected; 0 before the first. It may have been written long before: a link reads
    /// nothing while it passes no new connections on.
    last_up: AtomicU64,
    /// When the link read the first byte of the request that is on its way, or of the last one.
    request_begun: AtomicU64,
    /// Bytes have gone back since: what comes next begins a request.
    answered: AtomicBool,
    /// Something other than passing has happened to its bytes.
    disturbed: AtomicBool,
    /// The far side has taken it.
    taken: AtomicBool,
    /// When the network spoilt what goes back; 0 where it did not.
    spoilt: AtomicU64,
}

impl Connection {
    /// When it ended for who connected. What the network reads of an end later changes nothing.
    pub fn near_ended(&self) -> Option<Micros> {
        Some(self.near_ended.load(Ordering::Relaxed)).filter(|&at| at > 0)
    }

    /// When the link read the last byte from who connected.
    pub fn last_up(&self) -> Micros {
        self.last_up.load(Ordering::Relaxed)
    }

    /// When the link read the first byte of the request that is on its way, or of the last one: each connection carries one at a
    /// time.
    pub fn request_begun(&self) -> Micros {
        self.request_begun.load(Ordering::Relaxed)
    }

    fn note_up(&self, now: Micros) {
        let begins = self.answered.swap(false, Ordering::Relaxed) || self.last_up() == 0;
        if begins {
            self.request_begun.store(now, Ordering::Relaxed);
        }
        self.last_up.store(now, Ordering::Relaxed);
    }

    /// Whether the network did anything to it but pass its bytes on.
    pub fn disturbed(&self) -> bool {
        self.disturbed.load(Ordering::Relaxed)
    }

    /// When the network spoilt what goes back.
    pub fn spoilt(&self) -> Option<Micros> {
        Some(self.spoilt.load(Ordering::Relaxed)).filter(|&at| at > 0)
    }

    /// Whether the far side has taken it.
    pub fn taken(&self) -> bool {
        self.taken.load(Ordering::Relaxed)
    }

    /// One that its far side took, and that nothing befell.
    #[cfg(test)]
    pub fn untroubled(near_ended: Micros) -> Arc<Self> {
        let (near_ended, taken) = (AtomicU64::new(near_ended), AtomicBool::new(true));
        Arc::new(Connection { near_ended, taken, ..Connection::default() })
    }

    /// The same, but that the network lost what went back.
    #[cfg(test)]
    pub fn silent(near_ended: Micros) -> Arc<Self> {
        let connection = Self::untroubled(near_ended);
        connection.disturb();
        connection
    }

    /// One on which the answer to the request that began at a time was spoilt.
    #[cfg(test)]
    pub fn spoilt_at(spoilt: Micros, request_begun: Micros) -> Arc<Self> {
        let connection = Self::silent(0);
        connection.request_begun.store(request_begun, Ordering::Relaxed);
        connection.spoilt.store(spoilt, Ordering::Relaxed);
        connection
    }

    /// One that was opened then.
    #[cfg(test)]
    pub fn opened_at(opened: Micros) -> Arc<Self> {
        Arc::new(Connection { opened, ..Connection::default() })
    }

    fn end_near(&self, now: Micros) {
        let _ = self.near_ended.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn disturb(&self) {
        self.disturbed.store(true, Ordering::Relaxed);
    }
}

/// A link that can be broken.
#[derive(Clone)]
pub struct Link {
    /// Where the near side connects.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    connections: Arc<Mutex<Vec<Known>>>,
    opened: Arc<AtomicU64>,
}

/// A connection by the addresses that its two sides know it by.
struct Known {
    near: SocketAddr,
    far: Option<SocketAddr>,
    connection: Arc<Connection>,
}

impl Link {
    /// A link to this address on which connections come to what `planner` draws.
    pub async fn to(target: SocketAddr, clock: Clock, planner: Planner) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Link {
            address: listener.local_addr()?,
            state: watch::Sender::new(LinkState::default()),
            connections: Arc::default(),
            opened: Arc::default(),
        };
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = accepting.opened.fetch_add(1, Ordering::Relaxed);
                let plan = planner(number);
                let opened = clock.now();
                let connection = Arc::new(Connection { number, plan, opened, ..Connection::default() });
                let Ok(from) = near.peer_addr() else { continue };
                accepting.known().push(Known { near: from, far: None, connection: connection.clone() });
                tokio::spawn(accepting.clone().carry(near, target, connection, clock));
            }
        });
        Ok(link)
    }

    /// Changes what the link does.
    pub fn change(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// How many connections were opened up to now.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// All connections that are open now lose everything from now on.
    pub fn silence_open(&self) {
        let opened = self.opened.load(Ordering::Relaxed);
        self.change(|state| state.lost_before = opened);
    }

    fn known(&self) -> MutexGuard<'_, Vec<Known>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that the far side knows by this address.
    pub fn connection(&self, from: SocketAddr) -> Option<Arc<Connection>> {
        self.known().iter().rev().find(|known| known.far == Some(from)).map(|known| known.connection.clone())
    }

    /// The connection that was opened from this address.
    pub fn opened_from(&self, near: SocketAddr) -> Option<Arc<Connection>> {
        self.known().iter().rev().find(|known| known.near == near).map(|known| known.connection.clone())
    }

    async fn carry(self, near: TcpStream, target: SocketAddr, connection: Arc<Connection>, clock: Clock) {
        let late = self.state.borrow().late;
        if !late.is_zero() {
            connection.disturb();
            tokio::time::sleep(late).await;
        }
        // A link that passes nothing accepts, as the system of a machine that is cut off seems to.
        let mut state = self.state.subscribe();
        if self.passing(&connection, Way::Up) != Passing::Passes {
            connection.disturb();
            let _ = state.wait_for(|state| state.up == Passing::Passes).await;
        }
        let Ok(far) = TcpStream::connect(target).await else { return };
        connection.taken.store(true, Ordering::Relaxed);
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        for known in self.known().iter_mut().filter(|known| Arc::ptr_eq(&known.connection, &connection)) {
            known.far = far.local_addr().ok();
        }
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let up = self.clone().relay(near_in, far_out, Way::Up, connection.clone(), clock);
        let down = self.clone().relay(far_in, near_out, Way::Down, connection.clone(), clock);
        tokio::join!(up, down);
        self.forget_far_address(&connection);
    }

    /// Forgets the address by which the far side knows a connection that is over: the system may give it to another one.
    fn forget_far_address(&self, connection: &Arc<Connection>) {
        for known in self.known().iter_mut().filter(|known| Arc::ptr_eq(&known.connection, connection)) {
            known.far = None;
        }
    }

    fn passing(&self, connection: &Connection, way: Way) -> Passing {
        let state = self.state.borrow();
        match way {
            _ if connection.number < state.lost_before => Passing::Lost,
            Way::Up => state.up,
            Way::Down => state.down,
        }
    }

    /// Waits until bytes pass; false when they are lost.
    async fn passes(&self, connection: &Connection, way: Way) -> bool {
        let mut state = self.state.subscribe();
        loop {
            state.mark_unchanged();
            match self.passing(connection, way) {
                Passing::Passes => return true,
                Passing::Lost => {
                    connection.disturb();
                    return false;
                }
                Passing::Waits => {
                    connection.disturb();
                    if state.changed().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    async fn relay(
        self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way, connection: Arc<Connection>,
        clock: Clock,
    ) {
        let mut buffer = [0; BUFFER];
        let mut plan = connection.plan.filter(|plan| plan.way == way);
        let (mut seen, mut in_pieces, mut lost, mut keeps_end) = (0, false, false, false);
        loop {
            let read = from.read(&mut buffer).await.unwrap_or(0);
            match (way, read) {
                (Way::Up, 0) => connection.end_near(clock.now()),
                (Way::Up, _) => connection.note_up(clock.now()),
                (Way::Down, _) => connection.answered.store(true, Ordering::Relaxed),
            }
            if read == 0 {
                break;
            }
            let mut bytes = &buffer[..read];
            if let Some(due) = plan.filter(|plan| seen + read as u64 > plan.after) {
                let mut passed = due.after.saturating_sub(seen) as usize;
                if let Trouble::Spoils(_) = due.trouble {
                    let Some(boundary) = spoiling::boundary(&bytes[passed..]) else {
                        seen += read as u64;
                        if lost || !self.passes(&connection, way).await || to.write_all(bytes).await.is_err()
                        {
                            return;
                        }
                        continue;
                    };
                    passed += boundary;
                }
                let (before, after) = bytes.split_at(passed);
                plan = None;
                if due.trouble != Trouble::Pieces {
                    connection.disturb();
                }
                if !lost && self.passes(&connection, way).await && to.write_all(before).await.is_err() {
                    return;
                }
                bytes = after;
                match due.trouble {
                    Trouble::Silence => lost = true,
                    Trouble::Pause(pause) => tokio::time::sleep(pause).await,
                    Trouble::Reset => {
                        connection.end_near(clock.now());
                        self.forget_far_address(&connection);
                        return reset(&from, &to);
                    }
                    Trouble::HalfClose => {
                        let _ = to.shutdown().await;
                        lost = true;
                    }
                    Trouble::Pieces => in_pieces = true,
                    Trouble::KeepsEnd => keeps_end = true,
                    Trouble::Spoils(spoiling) => {
                        connection.spoilt.store(clock.now(), Ordering::Relaxed);
                        return spoil(&mut to, spoiling).await;
                    }
                }
            }
            seen += read as u64;
            if lost || !self.passes(&connection, way).await {
                // Nothing of what follows passes either: a gap within a stream is no silence.
                lost = true;
                continue;
            }
            if !write(&mut to, bytes, in_pieces).await {
                return;
            }
        }
        if lost || keeps_end || !self.passes(&connection, way).await {
            connection.disturb();
            // The other side is never told.
            std::future::pending::<()>().await;
        }
        let _ = to.shutdown().await;
    }
}

async fn write(to: &mut OwnedWriteHalf, bytes: &[u8], in_pieces: bool) -> bool {
    if !in_pieces {
        return to.write_all(bytes).await.is_ok();
    }
    for piece in bytes.chunks(PIECE.0) {
        if to.write_all(piece).await.is_err() {
            return false;
        }
        tokio::time::sleep(PIECE.1).await;
    }
    true
}

/// Goes on with something else in place of an answer, until nobody reads it.
async fn spoil(to: &mut OwnedWriteHalf, spoiling: Spoiling) {
    if to.write_all(spoiling.start().as_bytes()).await.is_err() {
        return;
    }
    for _ in 0..spoiling::PIECES {
        if to.write_all(spoiling.piece().as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(spoiling::INTERVAL).await;
    }
    std::future::pending::<()>().await;
}

/// Both sides get a reset.
fn reset(from: &OwnedReadHalf, to: &OwnedWriteHalf) {
    // Closing would tell an end in order: both ways have handles of their own.
    let _ = rustix::net::connect_unspec(from.as_ref());
    let _ = rustix::net::connect_unspec(to.as_ref());
}

#[cfg(test)]
mod tests;
