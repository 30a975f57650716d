//! The request ids that this conductor has taken: each is taken once, whoever brings it, and by whichever of its processes.
//!
//! [`table`] remembers them. In an upgrade one process is the owner of the conductor's ids at any time: the older one until it has
//! heard that the newer one serves, then the newer one. The owner takes ids by itself and tells the other of each; the other asks
//! it for each ([`messages`]). A process that cannot ask, as its partner does not answer, takes no request.

pub mod messages;
pub mod table;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_128;

use super::Clock;
use super::process::handover::{Message, Side};
use super::process::succession::Partners;
use super::request::RequestEnd;
use messages::{IdList, IdMessage, KnownIds};
use table::{Ended, IdHash, IdTable, Untaken};

/// For the other process to answer a claim, or to hand the ids over. A process may be held up for 0.15 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Ids in one message.
const IDS_PER_MESSAGE: usize = 1_024;

/// Which process may take ids by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// This one.
    Own,
    /// The older one, which is about to hand the ids over.
    Awaited,
    /// The newer one.
    Newer,
}

/// The ids of a conductor's requests.
pub struct RequestIds {
    table: RefCell<IdTable>,
    clock: Clock,
    ownership: Cell<Ownership>,
    ownership_changed: Notify,
    /// The ways to the other processes of an upgrade.
    partners: Partners,
    /// Which of them share ids, by this process's side towards them.
    shared_with: Cell<[bool; 2]>,
    /// Ids that are open at those.
    open_elsewhere: RefCell<[HashSet<IdHash>; 2]>,
    /// Claims that the newer process has not answered.
    claims: RefCell<HashMap<IdHash, oneshot::Sender<bool>>>,
}

impl RequestIds {
    /// Remembers ids in about so many bytes.
    pub fn new(bytes: usize, clock: Clock, partners: Partners) -> Rc<Self> {
        Rc::new(RequestIds {
            table: RefCell::new(IdTable::new(bytes)),
            clock,
            ownership: Cell::new(Ownership::Own),
            ownership_changed: Notify::new(),
            partners,
            shared_with: Cell::default(),
            open_elsewhere: RefCell::default(),
            claims: RefCell::default(),
        })
    }

    /// Takes no id until the older process has handed its ids over, or is gone.
    pub fn await_handover(&self) {
        self.ownership.set(Ownership::Awaited);
    }

    /// Takes the id of a new request. `is_unsafe` says that the request must not run twice.
    pub async fn take(self: &Rc<Self>, id: &str, is_unsafe: bool) -> Result<TakenId, Untaken> {
        let id = xxh3_128(id.as_bytes());
        if self.ownership.get() == Ownership::Awaited {
            timeout(ANSWER_TIMEOUT, self.handed_over()).await.map_err(|_| Untaken::Unanswered)?;
        }
        self.table.borrow_mut().take(self.clock.now(), id, is_unsafe)?;
        // From here on the id is given back when this is dropped, also if the client leaves meanwhile.
        let mut taken = TakenId { ids: self.clone(), id, is_unsafe, ended: Some(Ended::NeverSent) };
        if self.ownership.get() == Ownership::Newer {
            let claimed = self.claim(id).await;
            if claimed == Err(Untaken::Duplicate) {
                // It is the other process's to end.
                self.open_elsewhere.borrow_mut()[Side::Older as usize].insert(id);
                taken.ended = None;
            }
            claimed?;
        } else {
            self.tell_all(&KnownIds { open: IdList(vec![id]), ..KnownIds::default() });
        }
        taken.ended = Some(Ended::MayHaveRun);
        Ok(taken)
    }

    async fn handed_over(&self) {
        while self.ownership.get() == Ownership::Awaited {
            self.ownership_changed.notified().await;
        }
    }

    /// Asks the newer process for an id. Where that dies meanwhile the id is this process's.
    async fn claim(&self, id: IdHash) -> Result<(), Untaken> {
        let (answer, answered) = oneshot::channel();
        self.claims.borrow_mut().insert(id, answer);
        self.send(Side::Older, IdMessage::Claim(IdList(vec![id])));
        let granted = timeout(ANSWER_TIMEOUT, answered).await;
        self.claims.borrow_mut().remove(&id);
        match granted {
            Ok(Ok(true) | Err(_)) => Ok(()),
            Ok(Ok(false)) => Err(Untaken::Duplicate),
            Err(_) => Err(Untaken::Unanswered),
        }
    }

    fn end(&self, id: IdHash, ended: Ended) {
        self.table.borrow_mut().end(self.clock.now(), id, ended);
        self.tell_all(&KnownIds::ended(vec![id], ended));
    }

    /// Begins to share ids with another process: all that are known go there first. `side` is this process's.
    pub fn partner_joined(&self, side: Side) {
        let known = self.table.borrow().known();
        self.set_shared(side, true);
        for known in known.split(IDS_PER_MESSAGE) {
            self.send(side, IdMessage::Known(known));
        }
    }

    /// The newer process serves: from now on it is the owner.
    pub fn hand_over(&self) {
        self.set_ownership(Ownership::Newer);
        self.send(Side::Older, IdMessage::HandedOver);
    }

    /// The other process is gone. What was open there may have run.
    pub fn partner_lost(&self, side: Side) {
        self.set_shared(side, false);
        let open = std::mem::take(&mut self.open_elsewhere.borrow_mut()[side as usize]);
        open.into_iter().for_each(|id| self.end(id, Ended::MayHaveRun));
        let is_owner_lost = match side {
            Side::Older => self.ownership.get() == Ownership::Newer,
            Side::Newer => self.ownership.get() == Ownership::Awaited,
        };
        if is_owner_lost {
            self.set_ownership(Ownership::Own);
            // Whoever still waits for an answer has the id.
            self.claims.borrow_mut().clear();
        }
    }

    /// The other process of a link told this.
    pub fn told(self: &Rc<Self>, side: Side, message: IdMessage) {
        match message {
            IdMessage::Known(known) => {
                self.note(side, &known);
                // A third process has to know as well.
                self.send(side.other(), IdMessage::Known(known));
            }
            IdMessage::Claim(claimed) => claimed.0.into_iter().for_each(|id| self.answer(side, id)),
            IdMessage::Claimed { id, granted } => {
                id.0.iter().for_each(|id| self.claim_answered(*id, granted))
            }
            IdMessage::HandedOver if self.ownership.get() == Ownership::Awaited => {
                self.set_ownership(Ownership::Own);
            }
            IdMessage::HandedOver => {}
        }
    }

    /// Answers a claim of the other process, once it is decided.
    fn answer(self: &Rc<Self>, side: Side, id: IdHash) {
        let ids = self.clone();
        tokio::task::spawn_local(async move {
            let granted = ids.grant(side, id).await;
            ids.send(side, IdMessage::Claimed { id: IdList(vec![id]), granted });
        });
    }

    fn claim_answered(&self, id: IdHash, granted: bool) {
        let claim = self.claims.borrow_mut().remove(&id);
        // A request that has given up needs no answer.
        if let Some(claim) = claim {
            let _ = claim.send(granted);
        }
    }

    /// Notes what the other process knows of ids.
    fn note(&self, side: Side, known: &KnownIds) {
        for &id in &known.open.0 {
            // Where it was asked for as well, the owner has taken it by itself.
            self.claim_answered(id, false);
            // What is known of it already stays.
            let _ = self.table.borrow_mut().take(self.clock.now(), id, false);
            self.open_elsewhere.borrow_mut()[side as usize].insert(id);
        }
        let may_have_run = known.may_have_run.0.iter().map(|&id| (id, Ended::MayHaveRun));
        let harmless = known.harmless.0.iter().map(|&id| (id, Ended::Harmless));
        let never_sent = known.never_sent.0.iter().map(|&id| (id, Ended::NeverSent));
        may_have_run.chain(harmless).chain(never_sent).for_each(|(id, ended)| self.note_end(side, id, ended));
    }

    /// Notes that a request has ended at the other process. A request that is open here is not meant: the other one may have
    /// given up a claim of the same id.
    fn note_end(&self, side: Side, id: IdHash, ended: Ended) {
        let was_open_there = self.open_elsewhere.borrow_mut()[side as usize].remove(&id);
        if was_open_there || !self.table.borrow().is_open(id) {
            self.table.borrow_mut().end(self.clock.now(), id, ended);
        }
    }

    /// Decides a claim of the other process.
    async fn grant(&self, side: Side, id: IdHash) -> bool {
        if self.table.borrow_mut().take(self.clock.now(), id, false).is_err() {
            return false;
        }
        let is_granted = match self.ownership.get() {
            Ownership::Newer => self.claim(id).await.is_ok(),
            Ownership::Own | Ownership::Awaited => true,
        };
        let holder = if is_granted { side } else { Side::Older };
        self.open_elsewhere.borrow_mut()[holder as usize].insert(id);
        is_granted
    }

    fn set_ownership(&self, ownership: Ownership) {
        self.ownership.set(ownership);
        self.ownership_changed.notify_waiters();
    }

    fn tell_all(&self, known: &KnownIds) {
        [Side::Older, Side::Newer]
            .into_iter()
            .for_each(|side| self.send(side, IdMessage::Known(known.clone())));
    }

    fn set_shared(&self, side: Side, is_shared: bool) {
        let mut shared_with = self.shared_with.get();
        shared_with[side as usize] = is_shared;
        self.shared_with.set(shared_with);
    }

    /// Tells the other process of a link, if that shares ids.
    fn send(&self, side: Side, message: IdMessage) {
        if self.shared_with.get()[side as usize] {
            self.partners.tell_one(side, &Message::Ids(message));
        }
    }
}

/// The id of an open request. Dropping it ends the request; unless it was told otherwise the request may have run.
pub struct TakenId {
    ids: Rc<RequestIds>,
    id: IdHash,
    is_unsafe: bool,
    /// What dropping it means; `None` if the id is the other process's.
    ended: Option<Ended>,
}

impl TakenId {
    /// Ends the request, which came this far.
    pub fn end(mut self, end: RequestEnd) {
        self.ended = Some(match end {
            RequestEnd::NeverSent => Ended::NeverSent,
            RequestEnd::MayHaveRun if self.is_unsafe => Ended::MayHaveRun,
            RequestEnd::NotRun | RequestEnd::MayHaveRun => Ended::Harmless,
        });
    }
}

impl Drop for TakenId {
    fn drop(&mut self) {
        self.ended.into_iter().for_each(|ended| self.ids.end(self.id, ended));
    }
}

#[cfg(test)]
mod tests;
