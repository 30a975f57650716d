//! The request ids that this conductor has taken: each is taken once, whoever brings it.
//!
//! [`table`] remembers them.

pub mod table;

use std::cell::RefCell;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_128;

use super::Clock;
use table::{Ended, IdHash, IdTable, Untaken};

/// The ids of a conductor's requests.
pub struct RequestIds {
    table: RefCell<IdTable>,
    clock: Clock,
}

impl RequestIds {
    /// Remembers ids in about so many bytes.
    pub fn new(bytes: usize, clock: Clock) -> Rc<Self> {
        Rc::new(RequestIds { table: RefCell::new(IdTable::new(bytes)), clock })
    }

    /// Takes the id of a new request. `is_unsafe` says that the request must not run twice.
    pub fn take(self: &Rc<Self>, id: &str, is_unsafe: bool) -> Result<TakenId, Untaken> {
        let id = xxh3_128(id.as_bytes());
        self.table.borrow_mut().take(self.clock.now(), id, is_unsafe)?;
        Ok(TakenId { ids: self.clone(), id, is_unsafe, ended: Ended::MayHaveRun })
    }

    fn end(&self, id: IdHash, ended: Ended) {
        self.table.borrow_mut().end(self.clock.now(), id, ended);
    }
}

/// The id of an open request. Dropping it ends the request; unless it was told otherwise the request may have run.
pub struct TakenId {
    ids: Rc<RequestIds>,
    id: IdHash,
    is_unsafe: bool,
    ended: Ended,
}

impl TakenId {
    /// Ends the request, which may have run or is known not to have run.
    pub fn end(mut self, may_have_run: bool) {
        self.ended = if may_have_run && self.is_unsafe { Ended::MayHaveRun } else { Ended::Harmless };
    }
}

impl Drop for TakenId {
    fn drop(&mut self) {
        self.ids.end(self.id, self.ended);
    }
}

#[cfg(test)]
mod tests;
