//! One budget for all that clients make the process hold beyond a connection itself: unfinished heads, bodies and answers.

use std::cell::Cell;
use std::rc::Rc;

/// What a request may hold without regard to how little room is left: usual requests are smaller.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;
/// Part of the budget that larger requests leave free for small ones, as one in so many.
const SPARED_PART: usize = 4;

/// Bytes that may be held for clients, and how many are.
pub struct MemoryBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { limit: Cell::new(limit), used: Cell::new(0) })
    }

    /// Changes the limit. What is held beyond it stays held; nothing more is granted meanwhile.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns how many bytes are held.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// Bytes of a budget that one holder has, given back when dropped.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// A reservation of nothing.
    pub fn new(budget: &Rc<MemoryBudget>) -> Self {
        Reservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows to so many bytes in all, and returns whether there was room. A large holder has to leave a part of the budget to
    /// small ones, so that requests which stop half way do not shut out usual ones.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let spared = if bytes > SMALL_REQUEST_BYTES { self.budget.limit.get() / SPARED_PART } else { 0 };
        self.grow_sparing(bytes, spared)
    }

    /// Grows to so many bytes in all, also into what large holders have to leave.
    pub fn grow_in_any_case_to(&mut self, bytes: usize) -> bool {
        self.grow_sparing(bytes, 0)
    }

    fn grow_sparing(&mut self, bytes: usize, spared: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = more == 0 || self.budget.used.get() + more + spared <= self.budget.limit.get();
        if fits {
            self.budget.used.set(self.budget.used.get() + more);
            self.bytes += more;
        }
        fits
    }

    /// Grows by so many bytes, and returns whether there was room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.grow_to(self.bytes + bytes)
    }

    /// Returns how many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives all bytes back.
    pub fn clear(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}

#[cfg(test)]
mod tests;
