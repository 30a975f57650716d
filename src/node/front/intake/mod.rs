//! Room for what clients bring: connections, and the memory of their requests and answers. Who brings nothing makes room for who
//! does, and no connection brings many requests that are not served.
//!
//! [`budget`] counts the memory, [`pace`] a connection's requests that are not served, [`connection`] is where one connection stands, [`socket`] tells whether its client has closed it, [`stream`] watches its bytes,
//! [`body`] reads a request's body.

pub mod body;
pub mod budget;
pub mod connection;
pub mod pace;
pub mod socket;
pub mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use budget::{MemoryBudget, Reservation};
use connection::{Arrival, ConnectionState, Stage};
use hyper::Request;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::node::counters::{Counters, add};

/// Connections past the limit that are still taken, to be told so and closed: at most, and as a part of the limit.
const SPARE: (usize, usize) = (16, 8);
/// Part of a limit, in hundredths, that one of two processes keeps to in an upgrade: both have descriptors of their own
/// beside those counted here.
const SHARE: usize = 42;
/// Between looks for a connection that may make room, while none may.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Reserved for the answer of each open request: what the buffers between its instance and its client hold, and the
/// connection to the instance.
const ANSWER_BYTES: usize = 32 * 1024;

/// Memory that is reserved for a request's answer: the request has it until it ends, and the answer until it is written.
pub type AnswerRoom = Rc<RefCell<Reservation>>;

/// A limit's part while two processes of this conductor live.
pub fn shared(whole: usize) -> usize {
    (whole * SHARE / 100).max(1)
}

/// Room for what clients bring.
pub struct Intake {
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next: Cell<u64>,
    most: Cell<usize>,
    left: Notify,
    memory: Rc<MemoryBudget>,
    /// Of connections and bytes, while no other process has a part.
    whole: (usize, usize),
    /// A newer process of this conductor has the same listening socket.
    has_successor: Cell<bool>,
    counters: Rc<Counters>,
}

/// A connection's place in the intake, given back when dropped.
pub struct Place {
    intake: Rc<Intake>,
    number: u64,
    /// Where its connection stands.
    pub state: Rc<ConnectionState>,
}

impl Place {
    /// Counts a head that was not taken for want of memory.
    pub fn count_refused_head(&self) {
        add(&self.intake.counters.heads_refused);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.intake.connections.borrow_mut().remove(&self.number);
        self.intake.left.notify_one();
    }
}

impl Intake {
    /// Room for so many connections and so many bytes of heads, bodies and answers.
    pub fn new(most: usize, most_bytes: usize, counters: Rc<Counters>) -> Rc<Self> {
        let (left, whole) = (Notify::new(), (most, most_bytes));
        Rc::new(Intake {
            connections: RefCell::default(),
            next: Cell::new(0),
            most: Cell::new(most),
            left,
            memory: MemoryBudget::new(most_bytes),
            whole,
            has_successor: Cell::new(false),
            counters,
        })
    }

    /// Keeps to a part of the room while another process of this conductor has the other, or takes the whole again.
    pub fn share(&self, part: bool) {
        let of = |whole| if part { shared(whole) } else { whole };
        self.most.set(of(self.whole.0));
        self.memory.set_limit(of(self.whole.1));
        let over = self.connections.borrow().len().saturating_sub(self.most.get());
        (0..over).for_each(|_| self.make_room());
    }

    /// Notes whether a newer process of this conductor has the same listening socket.
    pub fn set_successor(&self, there: bool) {
        self.has_successor.set(there);
    }

    /// Whether one has.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Keeps to so many connections at most, within the room that there is; none lifts that.
    pub fn limit(&self, most: Option<usize>) {
        self.most.set(most.map_or(self.whole.0, |most| most.min(self.whole.0)));
        let over = self.connections.borrow().len().saturating_sub(self.most.get());
        (0..over).for_each(|_| self.make_room());
    }

    fn spare(&self) -> usize {
        SPARE.0.min(self.most.get() / SPARE.1)
    }

    /// Whether more clients are connected than are served.
    pub fn crowded(&self) -> bool {
        self.connections.borrow().len() > self.most.get()
    }

    /// Takes a connection in. Past the limit another one makes room, if it has no request open.
    pub fn enter(self: &Rc<Self>) -> Place {
        let number = self.next.get();
        let connection = ConnectionState::new(number, &self.memory);
        self.next.set(number + 1);
        if self.connections.borrow().len() >= self.most.get() {
            self.make_room();
        }
        self.connections.borrow_mut().insert(number, connection.clone());
        Place { intake: self.clone(), number, state: connection }
    }

    /// Returns a reservation of no memory yet.
    pub fn room(&self) -> Reservation {
        Reservation::new(&self.memory)
    }

    /// Reserves memory for the answer to one request; `None` if there is none left.
    pub fn room_for_answer(&self) -> Option<AnswerRoom> {
        let mut room = self.room();
        room.grow_in_any_case_to(ANSWER_BYTES).then(|| Rc::new(RefCell::new(room)))
    }

    /// Returns the connection on which a request arrived, while it is there.
    pub fn connection_of_request<B>(&self, request: &Request<B>) -> Option<Rc<ConnectionState>> {
        let arrival = request.extensions().get::<Arrival>()?;
        self.connections.borrow().get(&arrival.connection).cloned()
    }

    /// Waits until one more connection can be taken, if only to be told that there is no room.
    pub async fn vacancy(&self) {
        while self.connections.borrow().len() >= self.most.get() + self.spare() {
            self.make_room();
            let _ = timeout(LOOK_AGAIN, self.left.notified()).await;
        }
    }

    /// Whether a request may be taken on: no more of them are open than are served, and its connection has not brought too many
    /// that went unserved.
    pub fn admits<B>(&self, request: &Request<B>) -> bool {
        if self.full() {
            return false;
        }
        let is_in_pace = self.connection_of_request(request).is_none_or(|connection| connection.is_in_pace());
        if !is_in_pace {
            add(&self.counters.too_fast);
        }
        is_in_pace
    }

    /// Whether so many requests are open that one more cannot be taken on.
    fn full(&self) -> bool {
        let open = |connection: &&Rc<ConnectionState>| connection.stage() == Stage::Open;
        self.crowded() && self.connections.borrow().values().filter(open).count() > self.most.get()
    }

    /// Of those that may go, the first by stage and time.
    fn make_room(&self) {
        let connections = self.connections.borrow();
        let may_go = connections.values().filter(|connection| connection.may_go());
        if let Some(connection) =
            may_go.min_by_key(|connection| (connection.stage(), connection.quiet_since()))
        {
            match connection.stage() {
                // Counted when it was told to go.
                Stage::Leaving => {}
                Stage::Begun | Stage::Arriving => add(&self.counters.evicted_begun),
                _ => add(&self.counters.evicted),
            }
            connection.tell_to_go();
        }
    }
}

#[cfg(test)]
mod tests;
