//! Connection pool for the instances of one fleet. Connections are opened on demand and carry one request at
//! a time; idle ones are reused for a short time.

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

use super::answer_framing::FramingProgress;
use super::socket::{CheckedSocket, RequestBody, RequestSlot, SendCheck, WriteStatus};
use crate::api::{HostId, Role};
use crate::node::counters::{Counters, add};
use crate::node::front::intake::shared;

/// Longest time for which an idle connection is kept, whatever the settings allow. Instances have been seen
/// to close theirs after 4 s where the settings say 30 s, and a request that crosses the close ends as a
/// reset.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a connection must have been idle before it is reused. Within it a close right after an
/// answer, or bytes after the answer that belong to no request, have become visible.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// Most idle connections kept for each instance: enough for a usual burst to one instance, and far below its
/// limit.
const MAX_IDLE_PER_INSTANCE: usize = 24;
/// Size of a connection's read buffer. Events are far smaller. Together with the chunks that wait for a slow
/// client it bounds the memory of one stream.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Time for which a connection is read after its attempt was abandoned. Network outages are usually shorter.
const ABANDONED_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// At most one in this many of the connections that the limit allows may be read after an abandoned attempt.
const CONNECTIONS_PER_ABANDONED: usize = 8;
/// Most bytes taken by one read of an abandoned connection.
const ABANDONED_READ_BYTES: usize = 1_024;
/// Most reads of an abandoned connection; the answer to a read of a prompt is far shorter than they allow.
const MAX_ABANDONED_READS: usize = 64;

/// Delay before a connection is tried again after a fault of this machine.
const LOCAL_FAULT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// No connection was established in time, or none may be opened.
    #[error("no connection to the instance")]
    Unreachable,
    /// This machine lacked descriptors, ports, memory or a route; this says nothing about the instance.
    #[error("this machine cannot open a connection")]
    LocalFault,
}

/// What to do while this machine cannot open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalFaultHandling {
    /// Retry until the connect time-out.
    Retry,
    /// Return the error at once.
    Fail,
}

/// Whether a call may reuse an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one.
    Allowed,
    /// Open a new connection: the idle ones may be dead without any error having been reported.
    Never,
}

/// Returns whether the error is caused by this machine. Nothing was sent then, and a retry may succeed.
fn is_local_fault(error: &io::Error) -> bool {
    let resource_errors =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::ADDRINUSE];
    let transient_errors =
        [Errno::NETUNREACH, Errno::NETDOWN, Errno::AGAIN, Errno::INTR, Errno::PERM, Errno::ACCESS];
    let matches_error = |errno: &Errno| error.raw_os_error() == Some(errno.raw_os_error());
    resource_errors.iter().chain(&transient_errors).any(matches_error)
}

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is not reused, because the instance is about to close it.
    pub max_idle_time: Duration,
    /// Most connections at once.
    pub max_connections: usize,
}

/// Address and role of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id in discovery, used in the log.
    pub name: Rc<str>,
    /// Socket address.
    pub addr: SocketAddr,
    /// Role of the instance.
    pub role: Role,
    /// Whether the instance may be sent new work.
    pub is_ready: bool,
}

#[derive(Default)]
struct InstancePool {
    endpoint: Option<Endpoint>,
    /// Whether the instance may be sent new work; shared with all connections to it.
    accepts_work: Rc<Cell<bool>>,
    idle: Vec<Connection>,
    /// When an exchange last completed; reset when the instance becomes unresponsive.
    last_response_at: Option<Instant>,
    /// Whether a call has been unanswered for too long and nothing has been received since.
    is_suspect: bool,
}

/// Guard that is dropped once a server is known to have noticed that an attempt was abandoned, or once its
/// connection has closed otherwise.
pub type CloseGuard = oneshot::Sender<()>;

/// One connection to an instance. Dropping it closes the socket at once. If it has a close guard, dropping it
/// closes only the sending half, and the connection is read until the server closes it, too.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    slot: RequestSlot,
    driver: AbortHandle,
    /// Hands the close guard to the driver task when the connection is dropped.
    abandoned_guard: Rc<Cell<Option<CloseGuard>>>,
    /// Close guard of the attempt in flight.
    pub(super) close_guard: Option<CloseGuard>,
    idle_since: Instant,
    is_new: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        match self.close_guard.take() {
            // Hyper ends its driver when the pending request is dropped; the driver then takes the guard.
            Some(close_guard) => self.abandoned_guard.set(Some(close_guard)),
            None => self.driver.abort(),
        }
    }
}

/// Number of connections whose attempts were abandoned and that their servers have not closed yet.
#[derive(Clone, Default)]
struct AbandonedConnections(Rc<Cell<usize>>);

impl AbandonedConnections {
    /// Closes the sending half of a connection and reads it until its server closes it, too. The close guard
    /// is dropped after that. A connection beyond `max_abandoned` is closed at once.
    async fn read_until_closed(
        self, mut socket: CheckedSocket, close_guard: CloseGuard, max_abandoned: usize,
    ) {
        if self.0.get() >= max_abandoned {
            return;
        }
        self.0.set(self.0.get() + 1);
        socket.stop_following();
        let mut discarded = [0; ABANDONED_READ_BYTES];
        let _ = timeout(ABANDONED_READ_TIMEOUT, async {
            let _ = socket.shutdown().await;
            for _ in 0..MAX_ABANDONED_READS {
                if !matches!(socket.read(&mut discarded).await, Ok(1..)) {
                    return;
                }
            }
        })
        .await;
        self.0.set(self.0.get() - 1);
        drop(close_guard);
    }
}

impl Connection {
    /// Creates the body of the next request on this connection and its write status.
    pub fn request_body(&self, data: Bytes, check: SendCheck) -> (RequestBody, WriteStatus) {
        self.slot.request_body(data, check)
    }

    /// Returns the sending half.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Returns how far the framing of the latest answer was followed.
    pub fn framing_progress(&self) -> FramingProgress {
        self.slot.framing_progress()
    }

    /// Returns whether the connection was opened for the current request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

/// All connections to the instances of one fleet.
pub struct Pool {
    instances: RefCell<BTreeMap<HostId, InstancePool>>,
    limits: PoolLimits,
    permits: Arc<Semaphore>,
    /// Number of permits withheld from this process, for another process of this conductor or for the policy.
    withheld_permits: Cell<usize>,
    abandoned: AbandonedConnections,
    /// Number of permits to withhold because of the policy.
    withheld_target: Cell<usize>,
    counters: Rc<Counters>,
    /// Errors that the next calls to connect return.
    #[cfg(test)]
    connect_faults: RefCell<VecDeque<io::Error>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(mut limits: PoolLimits, counters: Rc<Counters>) -> Self {
        limits.max_idle_time = limits.max_idle_time.min(MAX_IDLE_TIME);
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        Pool {
            instances: RefCell::default(),
            limits,
            permits,
            withheld_permits: Cell::new(0),
            abandoned: AbandonedConnections::default(),
            withheld_target: Cell::new(0),
            counters,
            #[cfg(test)]
            connect_faults: RefCell::default(),
        }
    }

    /// Restricts the pool to its share of the connections while another process of this conductor uses the
    /// rest, or lifts that restriction.
    pub fn set_shared(&self, is_shared: bool) {
        self.permits.add_permits(self.withheld_permits.take());
        if is_shared {
            // Idle connections beyond the share close within 2 s; those in use close after their exchange.
            let others = self.limits.max_connections - shared(self.limits.max_connections);
            self.withheld_permits.set(self.permits.forget_permits(others));
        }
    }

    /// Limits the number of connections further than the limit at the start does; `None` lifts this.
    /// Connections in use beyond the limit close after their exchange.
    pub fn set_connection_limit(&self, max_connections: Option<usize>) {
        self.permits.add_permits(self.withheld_permits.take());
        let withheld = self
            .limits
            .max_connections
            .saturating_sub(max_connections.unwrap_or(self.limits.max_connections));
        self.withheld_target.set(withheld);
        self.withhold_free_permits();
    }

    /// Withholds permits that have become free since the limit was lowered.
    fn withhold_free_permits(&self) {
        let missing = self.withheld_target.get().saturating_sub(self.withheld_permits.get());
        self.withheld_permits.set(self.withheld_permits.get() + self.permits.forget_permits(missing));
    }

    /// Sets the endpoint of an instance, or removes the instance. A new address discards its idle
    /// connections.
    pub fn set_endpoint(&self, host: HostId, endpoint: Option<Endpoint>) {
        let mut instances = self.instances.borrow_mut();
        let Some(endpoint) = endpoint else {
            return drop(instances.remove(&host).inspect(|instance| instance.accepts_work.set(false)));
        };
        let instance = instances.entry(host).or_default();
        instance.accepts_work.set(endpoint.is_ready);
        if instance.endpoint.as_ref().is_none_or(|old| old.addr != endpoint.addr) {
            instance.idle.clear();
        }
        instance.endpoint = Some(endpoint);
    }

    /// Returns the endpoint of an instance.
    pub fn endpoint(&self, host: HostId) -> Option<Endpoint> {
        self.instances.borrow().get(&host)?.endpoint.clone()
    }

    /// Returns the id of an instance for the log.
    pub fn instance_name(&self, host: HostId) -> Rc<str> {
        self.endpoint(host).map_or_else(|| format!("host {}", host.0).into(), |endpoint| endpoint.name)
    }

    /// Returns all known hosts.
    pub fn hosts(&self) -> Vec<HostId> {
        self.instances.borrow().keys().copied().collect()
    }

    /// Returns up to `max_hosts` hosts, the likeliest to answer first. Ready hosts come before draining ones;
    /// then the order prefers hosts that are not suspect, that have an idle connection and that answered most
    /// recently.
    pub fn most_responsive(&self, max_hosts: usize) -> Vec<HostId> {
        let instances = self.instances.borrow();
        let listed = instances
            .iter()
            .filter_map(|(&host, instance)| Some((host, instance, instance.endpoint.as_ref()?.is_ready)));
        let mut hosts: Vec<_> = listed
            .map(|(host, instance, is_ready)| {
                (
                    !is_ready,
                    instance.is_suspect,
                    instance.idle.is_empty(),
                    Reverse(instance.last_response_at),
                    host,
                )
            })
            .collect();
        if hosts.len() > max_hosts {
            hosts.select_nth_unstable(max_hosts);
            hosts.truncate(max_hosts);
        }
        hosts.sort_unstable();
        hosts.into_iter().map(|(.., host)| host).collect()
    }

    /// Returns a connection to the host: an idle one that is still open, if `reuse` allows it, or else a new
    /// one.
    pub async fn acquire(
        &self, host: HostId, local_fault_handling: LocalFaultHandling, reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        while reuse == Reuse::Allowed
            && let Some(mut connection) = self.take_idle(host)
        {
            // Skips connections that the instance has closed; the driver reports that at once.
            if connection.sender.ready().await.is_ok() {
                add(&self.counters.reuses);
                connection.is_new = false;
                return Ok(connection);
            }
        }
        let target = {
            let instances = self.instances.borrow();
            let instance = instances.get(&host).ok_or(ConnectError::Unreachable)?;
            (instance.endpoint.as_ref().ok_or(ConnectError::Unreachable)?.addr, instance.accepts_work.clone())
        };
        let has_local_fault = Cell::new(false);
        let opened =
            timeout(self.limits.connect_timeout, self.open(target, local_fault_handling, &has_local_fault))
                .await;
        opened.unwrap_or(Err(if has_local_fault.get() {
            ConnectError::LocalFault
        } else {
            ConnectError::Unreachable
        }))
    }

    fn take_idle(&self, host: HostId) -> Option<Connection> {
        let mut instances = self.instances.borrow_mut();
        let idle = &mut instances.get_mut(&host)?.idle;
        idle.retain(|connection| {
            connection.idle_since.elapsed() < self.limits.max_idle_time && !connection.sender.is_closed()
        });
        let position =
            idle.iter().rposition(|connection| connection.idle_since.elapsed() >= MIN_IDLE_TIME)?;
        Some(idle.remove(position))
    }

    /// Connects to an address. Retries faults of this machine if asked to, and sets `has_local_fault`
    /// meanwhile.
    async fn connect(
        &self, addr: SocketAddr, local_fault_handling: LocalFaultHandling, has_local_fault: &Cell<bool>,
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
                Err(error) if is_local_fault(&error) && local_fault_handling == LocalFaultHandling::Retry => {
                    has_local_fault.set(true)
                }
                Err(error) if is_local_fault(&error) => return Err(ConnectError::LocalFault),
                Err(_) => return Err(ConnectError::Unreachable),
            }
            sleep(LOCAL_FAULT_RETRY_DELAY).await;
        }
    }

    /// Opens a connection and starts the task that drives it.
    async fn open(
        &self, (addr, accepts_work): (SocketAddr, Rc<Cell<bool>>), local_fault_handling: LocalFaultHandling,
        has_local_fault: &Cell<bool>,
    ) -> Result<Connection, ConnectError> {
        let permit = self.permit().await?;
        let socket = self.connect(addr, local_fault_handling, has_local_fault).await?;
        has_local_fault.set(false);
        socket.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
        let socket = CheckedSocket::new(socket, accepts_work);
        let slot = socket.request_slot();
        let handshake =
            http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(socket)).await;
        let (sender, mut connection) = handshake.map_err(|_| ConnectError::Unreachable)?;
        add(&self.counters.connects);
        let abandoned_guard: Rc<Cell<Option<CloseGuard>>> = Rc::default();
        let (close_guard, abandoned, max_abandoned) = (
            abandoned_guard.clone(),
            self.abandoned.clone(),
            self.limits.max_connections / CONNECTIONS_PER_ABANDONED,
        );
        let driver = tokio::task::spawn_local(async move {
            let _permit: OwnedSemaphorePermit = permit;
            // An error of the connection is reported to the request that uses it.
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            let mut socket = connection.into_parts().io.into_inner();
            match close_guard.take() {
                Some(close_guard) => abandoned.read_until_closed(socket, close_guard, max_abandoned).await,
                None => drop(socket.shutdown().await),
            }
        });
        let driver = driver.abort_handle();
        let idle_since = Instant::now();
        Ok(Connection { sender, slot, driver, abandoned_guard, close_guard: None, idle_since, is_new: true })
    }

    /// Acquires a permit for one more connection; closes the oldest idle connection if none is free.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let oldest = {
            let mut instances = self.instances.borrow_mut();
            let with_idle = instances.values_mut().filter(|instance| !instance.idle.is_empty());
            with_idle
                .min_by_key(|instance| instance.idle[0].idle_since)
                .map(|instance| instance.idle.remove(0))
        };
        drop(oldest);
        self.permits.clone().acquire_owned().await.map_err(|_| ConnectError::Unreachable)
    }

    /// Takes back a connection on which an exchange has completed, and keeps it idle if it may be reused.
    pub fn put_back(&self, host: HostId, mut connection: Connection) {
        let mut instances = self.instances.borrow_mut();
        let Some(instance) = instances.get_mut(&host) else { return };
        let now = Instant::now();
        (instance.last_response_at, instance.is_suspect) = (Some(now), false);
        let is_ready = instance.endpoint.as_ref().is_some_and(|endpoint| endpoint.is_ready);
        if !connection.sender.is_closed() && is_ready && instance.idle.len() < MAX_IDLE_PER_INSTANCE {
            connection.idle_since = now;
            instance.idle.push(connection);
        }
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.idle.clear();
        }
    }

    /// Records that the host stopped responding: discards the time of its last response and its idle
    /// connections, which may be dead.
    pub fn mark_unresponsive(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.idle.clear();
            instance.last_response_at = None;
        }
    }

    /// Records that a call to the host is unanswered. Other hosts are preferred for releases until it
    /// answers.
    pub fn mark_suspect(&self, host: HostId) {
        if let Some(instance) = self.instances.borrow_mut().get_mut(&host) {
            instance.is_suspect = true;
        }
    }

    /// Records that a connection to the host has been silent since `since`. Unless another exchange completed
    /// in the meantime, the idle connections may be dead as well.
    pub fn report_silence_since(&self, host: HostId, since: Instant) {
        let last_response_at =
            self.instances.borrow().get(&host).and_then(|instance| instance.last_response_at);
        if last_response_at.is_none_or(|at| at < since) {
            self.mark_unresponsive(host);
        }
    }

    /// Closes expired idle connections periodically; never returns.
    pub async fn run_eviction(&self) {
        loop {
            tokio::time::sleep(self.limits.max_idle_time / 8).await;
            self.withhold_free_permits();
            for instance in self.instances.borrow_mut().values_mut() {
                instance.idle.retain(|connection| {
                    connection.idle_since.elapsed() < self.limits.max_idle_time
                        && !connection.sender.is_closed()
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
