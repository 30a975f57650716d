//! Connections to instances: opened as needed, one request at a time on each, kept while fresh.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
#[cfg(test)]
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use super::socket::{CheckedSocket, RequestBody, RequestSlot, SendCheck, WriteStatus};
use crate::api::{HostId, Role};
use crate::node::counters::{Counters, add};
use crate::node::front::intake::shared;

/// Longest that a connection stands idle before it is closed, whatever the settings say: machines have been seen to
/// close theirs after 4 s where the settings say 30, and a request that crosses the close ends as a reset.
const IDLE_LONGEST: Duration = Duration::from_secs(2);
/// For which a connection must have been quiet before it is used again: within this a close right after an answer, or
/// bytes behind it that belong to no request, have shown.
const SETTLED: Duration = Duration::from_millis(100);
/// Idle connections kept for each instance: a usual burst to one, far under its limit.
const IDLE_MOST: usize = 24;
/// Read buffer of a connection; events are far smaller. With the pieces that wait for a slow reader it bounds what
/// one stream may hold.
const BUFFER: usize = 16 * 1024;

/// For which a connection whose attempt was given up is read: longer than a network is out, as a rule.
const GIVEN_UP_SEEN: Duration = Duration::from_secs(30);
/// Of the connections that there may be, one in so many may be read so.
const GIVEN_UP_PART: usize = 8;
/// Bytes read at once, and how often: a read's answer is far shorter.
const GIVEN_UP_READ: usize = 1_024;
const GIVEN_UP_READS: usize = 64;

/// Between tries of a connection that this machine's own state prevents.
const LOCAL_FAULT_PAUSE: Duration = Duration::from_millis(10);

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// None came up in time, or none may be opened.
    #[error("no connection to the instance")]
    Unreachable,
    /// This machine could not open one, for want of descriptors, ports, memory or a route: it says nothing of the instance.
    #[error("this machine cannot open a connection")]
    LocalFault,
}

/// What to do while this machine cannot open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalFaultHandling {
    /// Try again for as long as a connection may take.
    Retry,
    /// Say so at once.
    Fail,
}

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// One that is kept, if there is one.
    Allowed,
    /// A new one: those that are kept may have fallen silent with no error.
    Never,
}

/// Whether the fault of a call is this machine's: nothing was sent, and the next try may succeed.
fn is_local(fault: &io::Error) -> bool {
    let named =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::ADDRINUSE];
    let passing = [Errno::NETUNREACH, Errno::NETDOWN, Errno::AGAIN, Errno::INTR, Errno::PERM, Errno::ACCESS];
    let is = |errno: &Errno| fault.raw_os_error() == Some(errno.raw_os_error());
    named.iter().chain(&passing).any(is)
}

/// What the pool may use.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// A connection not made within this is none.
    pub connect_timeout: Duration,
    /// A connection idle for longer is not used again: the instance is about to close it.
    pub max_idle_time: Duration,
    /// Most connections at once.
    pub max_connections: usize,
}

/// Where an instance listens and what it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id on the list, for the log.
    pub name: Rc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Whether it may be sent new work.
    pub is_ready: bool,
}

#[derive(Default)]
struct InstancePool {
    site: Option<Endpoint>,
    /// Whether the instance may be sent new work: shared with all connections to it.
    open: Rc<Cell<bool>>,
    idle: Vec<Connection>,
    heard: Option<Instant>,
    /// A call there has gone unanswered for longer than it should, and nothing was heard since.
    suspect: bool,
}

/// Lives until a server is known to have heard that an attempt was given up, or its connection has ended otherwise.
pub type CloseGuard = oneshot::Sender<()>;

/// One connection to an instance. Dropping it closes the socket at once; with a witness its sending ends, and it is read until the
/// server ends it as well.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    slot: RequestSlot,
    driver: AbortHandle,
    /// Where the driver finds the witness.
    given_up: Rc<Cell<Option<CloseGuard>>>,
    /// Of the attempt that is out.
    pub(super) witness: Option<CloseGuard>,
    since: Instant,
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        match self.witness.take() {
            // The library ends its part as the request that waits is dropped.
            Some(witness) => self.given_up.set(Some(witness)),
            None => self.driver.abort(),
        }
    }
}

/// Connections whose attempts were given up and that their servers have not ended.
#[derive(Clone, Default)]
struct GivenUp(Rc<Cell<usize>>);

impl GivenUp {
    /// Ends the sending on a connection, and reads it until its server ends it too: its witness goes with that. One above the
    /// most is closed at once.
    async fn see_end(self, mut socket: CheckedSocket, witness: CloseGuard, most: usize) {
        if self.0.get() >= most {
            return;
        }
        self.0.set(self.0.get() + 1);
        let mut unread = [0; GIVEN_UP_READ];
        let _ = timeout(GIVEN_UP_SEEN, async {
            let _ = socket.shutdown().await;
            for _ in 0..GIVEN_UP_READS {
                if !matches!(socket.read(&mut unread).await, Ok(1..)) {
                    return;
                }
            }
        })
        .await;
        self.0.set(self.0.get() - 1);
        drop(witness);
    }
}

impl Connection {
    /// A body for the next request on this connection, and the mark that tells when it is written.
    pub fn request_body(&self, data: Bytes, check: SendCheck) -> (RequestBody, WriteStatus) {
        self.slot.request_body(data, check)
    }

    /// The sending half.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Whether it was opened for the present request.
    pub fn fresh(&self) -> bool {
        self.fresh
    }
}

/// All connections to one fleet.
pub struct Pool {
    instances: RefCell<BTreeMap<HostId, InstancePool>>,
    limits: PoolLimits,
    permits: Arc<Semaphore>,
    /// Connections left to another process of this conductor.
    left: Cell<usize>,
    given_up: GivenUp,
    /// Connections that the policy sets aside.
    wanted_left: Cell<usize>,
    counters: Rc<Counters>,
    /// What the next calls to connect come to.
    #[cfg(test)]
    connect_faults: RefCell<VecDeque<io::Error>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(mut limits: PoolLimits, counters: Rc<Counters>) -> Self {
        limits.max_idle_time = limits.max_idle_time.min(IDLE_LONGEST);
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        Pool {
            instances: RefCell::default(),
            limits,
            permits,
            left: Cell::new(0),
            given_up: GivenUp::default(),
            wanted_left: Cell::new(0),
            counters,
            #[cfg(test)]
            connect_faults: RefCell::default(),
        }
    }

    /// Keeps to a part of the connections while another process of this conductor has the other, or takes the whole again.
    pub fn set_shared(&self, part: bool) {
        self.permits.add_permits(self.left.take());
        if part {
            // What is idle beyond the part closes within 2 s; what is in use ends with its exchange.
            let others = self.limits.max_connections - shared(self.limits.max_connections);
            self.left.set(self.permits.forget_permits(others));
        }
    }

    /// Keeps to so many connections at most, within the limit of the start; none lifts that. What is in use beyond it ends
    /// with its exchange.
    pub fn set_connection_limit(&self, most: Option<usize>) {
        self.permits.add_permits(self.left.take());
        let others = self.limits.max_connections.saturating_sub(most.unwrap_or(self.limits.max_connections));
        self.wanted_left.set(others);
        self.trim();
    }

    /// Sets connections aside that have become free since the limit fell.
    fn trim(&self) {
        let missing = self.wanted_left.get().saturating_sub(self.left.get());
        self.left.set(self.left.get() + self.permits.forget_permits(missing));
    }

    /// Takes in where an instance listens, or that it is gone. A new address makes old connections useless.
    pub fn set_endpoint(&self, host: HostId, site: Option<Endpoint>) {
        let mut instances = self.instances.borrow_mut();
        let Some(site) = site else {
            return drop(instances.remove(&host).inspect(|instance| instance.open.set(false)));
        };
        let instance = instances.entry(host).or_default();
        instance.open.set(site.is_ready);
        if instance.site.as_ref().is_none_or(|old| old.addr != site.addr) {
            instance.idle.clear();
        }
        instance.site = Some(site);
    }

    /// Where an instance listens.
    pub fn endpoint(&self, host: HostId) -> Option<Endpoint> {
        self.instances.borrow().get(&host)?.site.clone()
    }

    /// The id of an instance, for the log.
    pub fn instance_name(&self, host: HostId) -> Rc<str> {
        self.endpoint(host).map_or_else(|| format!("host {}", host.0).into(), |site| site.name)
    }

    /// The hosts known.
    pub fn hosts(&self) -> Vec<HostId> {
        self.instances.borrow().keys().copied().collect()
    }

    /// Of the hosts so many, the likeliest to answer first: of the ready ones those that are not suspect, with a connection at hand,
    /// last heard from first; then those that drain.
    pub fn most_responsive(&self, most: usize) -> Vec<HostId> {
        let instances = self.instances.borrow();
        let listed = instances.iter().filter_map(|(&id, s)| Some((id, s, s.site.as_ref()?.is_ready)));
        let mut hosts: Vec<_> = listed
            .map(|(id, s, ready)| (!ready, s.suspect, s.idle.is_empty(), Reverse(s.heard), id))
            .collect();
        if hosts.len() > most {
            hosts.select_nth_unstable(most);
            hosts.truncate(most);
        }
        hosts.sort_unstable();
        hosts.into_iter().map(|(.., id)| id).collect()
    }

    /// A connection to the host: an idle one that still stands, if one may be used, else a new one.
    pub async fn acquire(
        &self, host: HostId, local_faults: LocalFaultHandling, reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        while reuse == Reuse::Allowed
            && let Some(mut kept) = self.take_idle(host)
        {
            // Guards against a connection that the instance has closed: the driver knows at once.
            if kept.sender.ready().await.is_ok() {
                add(&self.counters.reuses);
                kept.fresh = false;
                return Ok(kept);
            }
        }
        let place = {
            let instances = self.instances.borrow();
            let instance = instances.get(&host).ok_or(ConnectError::Unreachable)?;
            (instance.site.as_ref().ok_or(ConnectError::Unreachable)?.addr, instance.open.clone())
        };
        let local_fault = Cell::new(false);
        let opened = timeout(self.limits.connect_timeout, self.open(place, local_faults, &local_fault)).await;
        opened.unwrap_or(Err(if local_fault.get() {
            ConnectError::LocalFault
        } else {
            ConnectError::Unreachable
        }))
    }

    fn take_idle(&self, host: HostId) -> Option<Connection> {
        let mut instances = self.instances.borrow_mut();
        let idle = &mut instances.get_mut(&host)?.idle;
        idle.retain(|c| c.since.elapsed() < self.limits.max_idle_time && !c.sender.is_closed());
        let settled = idle.iter().rposition(|c| c.since.elapsed() >= SETTLED)?;
        Some(idle.remove(settled))
    }

    /// Connects; tries again while it is this machine that fails, and tells so in `local_fault`.
    async fn connect(
        &self, addr: SocketAddr, local_faults: LocalFaultHandling, local_fault: &Cell<bool>,
    ) -> Result<TcpStream, ConnectError> {
        loop {
            #[cfg(test)]
            let injected = self.connect_faults.borrow_mut().pop_front();
            #[cfg(not(test))]
            let injected = None;
            let connected = match injected {
                Some(fault) => Err(fault),
                None => TcpStream::connect(addr).await,
            };
            match connected {
                Ok(socket) => return Ok(socket),
                Err(fault) if is_local(&fault) && local_faults == LocalFaultHandling::Retry => {
                    local_fault.set(true)
                }
                Err(fault) if is_local(&fault) => return Err(ConnectError::LocalFault),
                Err(_) => return Err(ConnectError::Unreachable),
            }
            sleep(LOCAL_FAULT_PAUSE).await;
        }
    }

    async fn open(
        &self, (addr, open): (SocketAddr, Rc<Cell<bool>>), local_faults: LocalFaultHandling,
        local_fault: &Cell<bool>,
    ) -> Result<Connection, ConnectError> {
        let permit = self.permit().await?;
        let socket = self.connect(addr, local_faults, local_fault).await?;
        local_fault.set(false);
        socket.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
        let socket = CheckedSocket::new(socket, open);
        let slot = socket.request_slot();
        let made = http1::Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(socket)).await;
        let (sender, mut connection) = made.map_err(|_| ConnectError::Unreachable)?;
        add(&self.counters.connects);
        let given_up: Rc<Cell<Option<CloseGuard>>> = Rc::default();
        let (witness, all, most) =
            (given_up.clone(), self.given_up.clone(), self.limits.max_connections / GIVEN_UP_PART);
        let driver = tokio::task::spawn_local(async move {
            let _permit: OwnedSemaphorePermit = permit;
            // Its end shows at the request that used it.
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            let mut socket = connection.into_parts().io.into_inner();
            match witness.take() {
                Some(witness) => all.see_end(socket, witness, most).await,
                None => drop(socket.shutdown().await),
            }
        });
        let driver = driver.abort_handle();
        let since = Instant::now();
        Ok(Connection { sender, slot, driver, given_up, witness: None, since, fresh: true })
    }

    /// Room for one more connection, made by closing the oldest idle one if need be.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let oldest = {
            let mut instances = self.instances.borrow_mut();
            let idle = instances.values_mut().filter(|s| !s.idle.is_empty());
            idle.min_by_key(|s| s.idle[0].since).map(|s| s.idle.remove(0))
        };
        drop(oldest);
        self.permits.clone().acquire_owned().await.map_err(|_| ConnectError::Unreachable)
    }

    /// Keeps a connection on which an exchange has ended whole.
    pub fn put_back(&self, host: HostId, mut connection: Connection) {
        let mut instances = self.instances.borrow_mut();
        let Some(instance) = instances.get_mut(&host) else { return };
        let now = Instant::now();
        (instance.heard, instance.suspect) = (Some(now), false);
        let ready = instance.site.as_ref().is_some_and(|site| site.is_ready);
        if !connection.sender.is_closed() && ready && instance.idle.len() < IDLE_MOST {
            connection.since = now;
            instance.idle.push(connection);
        }
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.idle.clear();
        }
    }

    /// Forgets when the host was last heard: something there went silent, and its idle connections may be dead.
    pub fn mark_unresponsive(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.idle.clear();
            instance.heard = None;
        }
    }

    /// A call to the host goes unanswered: others are likelier to answer until it is heard.
    pub fn mark_suspect(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.suspect = true;
        }
    }

    /// Something at the host has been silent since then. Unless another exchange was heard meanwhile, its idle
    /// connections may be as dead.
    pub fn report_silence_since(&self, host: HostId, since: Instant) {
        let heard = self.instances.borrow().get(&host).and_then(|s| s.heard);
        if heard.is_none_or(|at| at < since) {
            self.mark_unresponsive(host);
        }
    }

    /// Closes what has stood idle too long, for ever.
    pub async fn run_eviction(&self) {
        loop {
            tokio::time::sleep(self.limits.max_idle_time / 8).await;
            self.trim();
            for instance in self.instances.borrow_mut().values_mut() {
                instance
                    .idle
                    .retain(|c| c.since.elapsed() < self.limits.max_idle_time && !c.sender.is_closed());
            }
        }
    }
}

#[cfg(test)]
mod tests;
