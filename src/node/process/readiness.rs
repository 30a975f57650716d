//! What the conductor does with clients, as one state. It does no I/O and reads no clock.

/// What happened to the conductor as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// It can serve: a list of instances is in hand.
    CanServe,
    /// Operators send its clients away.
    Drain,
    /// Operators take the drain back.
    Undrain,
    /// A newer process serves in its place.
    Succeeded,
    /// That process is gone again.
    SuccessorGone,
    /// It was told to end.
    End,
}

/// Where the conductor stands. What operators see, with the strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It finishes what it has and ends.
    Ending,
    /// A newer process takes the clients; it finishes what it has.
    HandingOver,
    /// It has no list of instances yet.
    Starting,
    /// It serves what comes, and tells clients to go elsewhere.
    Drained,
    /// It serves.
    Serving,
}

impl Stage {
    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Ending => "ending",
            Stage::HandingOver => "handing over",
            Stage::Starting => "starting",
            Stage::Drained => "drained",
            Stage::Serving => "serving",
        }
    }
}

/// The facts that the state is read off. They may become true in any order, and each is kept under the others: a drain
/// outlasts an upgrade that fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    can_serve: bool,
    drained: bool,
    succeeded: bool,
    ending: bool,
}

impl Readiness {
    /// What holds after this.
    #[must_use]
    pub fn after(mut self, happening: Happening) -> Self {
        match happening {
            Happening::CanServe => self.can_serve = true,
            Happening::Drain => self.drained = true,
            Happening::Undrain => self.drained = false,
            Happening::Succeeded => self.succeeded = true,
            Happening::SuccessorGone => self.succeeded = false,
            Happening::End => self.ending = true,
        }
        self
    }

    /// Where it stands.
    pub fn stage(self) -> Stage {
        match self {
            Readiness { ending: true, .. } => Stage::Ending,
            Readiness { succeeded: true, .. } => Stage::HandingOver,
            Readiness { can_serve: false, .. } => Stage::Starting,
            Readiness { drained: true, .. } => Stage::Drained,
            _ => Stage::Serving,
        }
    }

    /// Whether operators drained it, whatever else holds.
    pub fn drained(self) -> bool {
        self.drained
    }

    /// Whether it was told to end.
    pub fn ending(self) -> bool {
        self.ending
    }

    /// Whether the front may send clients. One that ends or hands over says so still: its address goes on serving.
    pub fn ready(self) -> bool {
        self.can_serve && !self.drained
    }

    /// Whether the process can serve, drained or not.
    pub fn healthy(self) -> bool {
        self.can_serve && !self.ending
    }

    /// Whether it takes new connections: not beside a newer process, which takes them from the same queue.
    pub fn accepts(self) -> bool {
        !self.succeeded
    }

    /// Whether clients' connections end with their next answer, and idle ones at once.
    pub fn lets_go(self) -> bool {
        self.drained || self.succeeded || self.ending
    }
}

#[cfg(test)]
mod tests;
