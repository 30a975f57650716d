//! Accepting clients' connections, up to the last one in the system's queue when the process ends.

#[cfg(test)]
use std::cell::RefCell;
#[cfg(test)]
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use super::intake::Intake;
use crate::node::process::readiness::Readiness;
use crate::node::process::shutdown::Shutdown;

/// Clients' connections that may wait in the system's queue, as a flood of them.
pub const BACKLOG: u32 = 1_024;
/// Before the next try after one that failed: descriptors or memory may be free by then.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// For the runtime to learn of connections that came while the process did not run.
const RUNTIME_TURN: Duration = Duration::from_millis(1);

/// Takes connections from a listening socket.
pub struct Acceptor {
    listener: Rc<TcpListener>,
    intake: Rc<Intake>,
    shutdown: Shutdown,
    /// The last try failed, and that was logged.
    failing: bool,
    /// Set when arrivals end: how many more are taken from the queue.
    queued: Option<u32>,
    /// What the next calls to accept come to.
    #[cfg(test)]
    faults: RefCell<VecDeque<io::Error>>,
}

impl Acceptor {
    /// Takes them while there is room, until the shutdown.
    pub fn new(listener: Rc<TcpListener>, intake: Rc<Intake>, shutdown: Shutdown) -> Self {
        Acceptor {
            listener,
            intake,
            shutdown,
            failing: false,
            queued: None,
            #[cfg(test)]
            faults: RefCell::default(),
        }
    }

    /// The next connection; none once arrivals have ended and nobody waits in the queue any more.
    pub async fn next(&mut self) -> Option<TcpStream> {
        if self.queued.is_none() {
            let shutdown = self.shutdown.clone();
            let mut accepting_ends = pin!(shutdown.due(|schedule| schedule.accept_until));
            tokio::select! {
                biased;
                () = &mut accepting_ends => {}
                socket = self.next_arrival() => return Some(socket),
            }
            // A newer process has the queue too, and takes who waits there.
            if self.intake.has_successor() {
                return None;
            }
            self.queued = Some(BACKLOG);
            sleep(RUNTIME_TURN).await;
        }
        self.next_in_queue().await
    }

    /// The next connection to take: none while a newer process takes them, and past all limits clients wait in the
    /// system's queue.
    async fn next_arrival(&mut self) -> TcpStream {
        let (intake, shutdown) = (self.intake.clone(), self.shutdown.clone());
        loop {
            shutdown.once(Readiness::accepts).await;
            tokio::select! {
                biased;
                () = shutdown.once(|now| !now.accepts()) => {}
                accepted = async { (intake.vacancy().await, self.accept().await).1 } => {
                    if let Some(socket) = self.accepted(accepted) {
                        return socket;
                    }
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// The next connection that waits in the queue already; those that come later find the listener closed. A try that fails
    /// is made again: who waits is owed an answer while there is time for one.
    async fn next_in_queue(&mut self) -> Option<TcpStream> {
        let until = self.shutdown.begun().await.answers_until;
        self.queued = self.queued.and_then(|queued| queued.checked_sub(1));
        self.queued?;
        while Instant::now() < until {
            let tried = {
                let mut accept = pin!(self.accept());
                poll_fn(|cx| Poll::Ready(accept.as_mut().poll(cx))).await
            };
            let Poll::Ready(accepted) = tried else { return None };
            if let Some(socket) = self.accepted(accepted) {
                return Some(socket);
            }
            sleep(ACCEPT_AGAIN).await;
        }
        None
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        #[cfg(test)]
        if let Some(fault) = self.faults.borrow_mut().pop_front() {
            return Err(fault);
        }
        self.listener.accept().await.map(|(socket, _)| socket)
    }

    /// Logs the first failure of several, and the first success after them.
    fn accepted(&mut self, accepted: io::Result<TcpStream>) -> Option<TcpStream> {
        let failed = std::mem::replace(&mut self.failing, accepted.is_err());
        match &accepted {
            Ok(_) if failed => tracing::info!("intake: connections are accepted again"),
            Err(fault) if !failed => tracing::warn!("intake: cannot accept a connection: {fault}"),
            _ => {}
        }
        accepted.ok()
    }
}

#[cfg(test)]
mod tests;
