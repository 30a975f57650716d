//! The serving side of shared state: tells the ledger's thread what this conductor learns, spends and finds, and lays what others
//! tell over its own planner and fleet.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::counters::add;
use super::list::fleet::Fleet;
use super::planner::FleetOrder;
use super::{Clock, Core, log_suspect};
use crate::api::{HostId, Load, Micros, Outcome};
use crate::control::controller::{Handle, StateUpdate};
use crate::replica::marks::{Marks, Subject};
use crate::replica::share::ShareEvent;
use crate::replica::store::InstanceReport;
use crate::replica::sync::CATCH_UP_TIMEOUT_US;

/// Between tellings of what was spent and learnt.
const TELL: Duration = Duration::from_millis(200);
/// Between tellings of failures of one instance.
const FAILURE_EVERY: Micros = 300_000;

/// What conductors share, as the serving side sees it.
pub struct Shared {
    handle: Handle,
    fleet: Rc<Fleet>,
    clock: Clock,
    caught_up: watch::Sender<Option<bool>>,
    marks: RefCell<(Marks, BTreeMap<String, i64>)>,
    /// Instances that are out because of them. A ban that an operator has just asked for here is not among them yet.
    laid: RefCell<BTreeSet<String>>,
    told: RefCell<HashMap<HostId, Micros>>,
    drained: Cell<bool>,
}

impl Shared {
    /// For this fleet.
    pub fn new(handle: Handle, fleet: Rc<Fleet>, clock: Clock) -> Rc<Self> {
        Rc::new(Shared {
            handle,
            fleet,
            clock,
            caught_up: watch::Sender::new(None),
            marks: RefCell::default(),
            laid: RefCell::default(),
            told: RefCell::default(),
            drained: Cell::new(false),
        })
    }

    /// Waits until the copy here is as good as another's, or is not waited for any longer; operators' bans hold then.
    pub async fn caught_up(&self) {
        let mut told = self.caught_up.subscribe();
        // The other thread has its own bound; this one only guards against its end.
        let most = Duration::from_micros(2 * CATCH_UP_TIMEOUT_US as u64);
        let well = timeout(most, told.wait_for(Option::is_some)).await;
        if !matches!(well, Ok(Ok(well)) if *well == Some(true)) {
            tracing::warn!("state: not caught up in time, this conductor serves with what it has");
        }
    }

    /// Passes on what comes and goes, for ever. `me` is this conductor's name; `drain` is told when its own mark changes.
    pub async fn run(
        self: Rc<Self>, me: String, mut news: mpsc::UnboundedReceiver<ShareEvent>, drain: impl Fn(bool),
    ) {
        let mut ticks = interval(TELL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let learnt = self.fleet.core().planner.settled().await;
                    self.handle.tell(StateUpdate::Figures(Box::new(learnt)));
                    // An instance that discovery has just named may be out for maintenance.
                    self.lay_marks().await;
                }
                told = news.recv() => match told {
                    Some(told) => self.take(&me, told, &drain).await,
                    None => return,
                },
            }
        }
    }

    async fn take(&self, me: &str, news: ShareEvent, drain: &impl Fn(bool)) {
        let planner = &self.fleet.core().planner;
        match news {
            ShareEvent::Others(spent) => planner.others(spent),
            ShareEvent::Reports(reports) => {
                for (instance, report) in reports {
                    let Some(host) = self.fleet.host(&instance) else { continue };
                    add(&self.fleet.core().counters.reports_heard);
                    let outcome = if report.failed { Outcome::Unreachable } else { Outcome::Served };
                    planner.probed(host, outcome, Some(report.load()).filter(|_| !report.failed));
                }
            }
            ShareEvent::Marks(marks, returns) => {
                let drained = marks.marked_since(&Subject::Conductor(me.into())).is_some();
                *self.marks.borrow_mut() = (marks, returns);
                self.lay_marks().await;
                if self.drained.replace(drained) != drained {
                    drain(drained);
                }
            }
            ShareEvent::Learnt(figures) => planner.adopt(figures.curves, figures.means),
            ShareEvent::CaughtUp(well) => drop(self.caught_up.send_replace(Some(well))),
        }
    }

    /// Lays operators' marks over the fleet as it is known now.
    async fn lay_marks(&self) {
        let (marks, returns) = self.marks.borrow().clone();
        let instance = |(subject, _): (&Subject, Micros)| match subject {
            Subject::Instance(id) => Some(id.clone()),
            Subject::Conductor(_) => None,
        };
        let out: BTreeSet<String> = marks.iter().filter_map(instance).collect();
        let before = self.laid.replace(out.clone());
        let membership = self.fleet.membership();
        for id in out.iter().filter(|id| !membership.bans().contains_key(*id)) {
            let _ = self.fleet.ban(id).await;
        }
        for id in before.difference(&out).filter(|id| membership.bans().contains_key(*id)) {
            let _ = self.fleet.lift_ban(id).await;
        }
        self.fleet.merge_returns(&returns);
    }

    /// Carries out what the planner wants of the fleet, but for probes that are another's duty.
    pub async fn tend(self: Rc<Self>, core: Core, mut orders: mpsc::UnboundedReceiver<FleetOrder>) {
        while let Some(order) = orders.recv().await {
            match order {
                FleetOrder::Close(host) => core.upstream.pool().close_idle(host),
                FleetOrder::Suspect(host, failures) => log_suspect(&core, host, failures),
                FleetOrder::Probe(host) => {
                    if !self.handle.duties.mine(|| self.clock.now(), u64::from(host.0)) {
                        add(&core.counters.probes_left);
                        continue;
                    }
                    let (core, shared) = (core.clone(), self.clone());
                    tokio::task::spawn_local(async move {
                        let (outcome, load) = core.upstream.probe(host).await;
                        shared.found(host, outcome, load.as_ref());
                        core.planner.probed(host, outcome, load);
                    });
                }
                FleetOrder::Failed(host) => {
                    let now = self.clock.now();
                    let lately = |at: &Micros| now < at.saturating_add(FAILURE_EVERY);
                    let mut told = self.told.borrow_mut();
                    told.retain(|_, at| lately(at));
                    let news = !told.contains_key(&host);
                    told.entry(host).or_insert(now);
                    drop(told);
                    if news {
                        self.found(host, Outcome::Unreachable, None);
                    }
                }
            }
        }
    }

    fn found(&self, host: HostId, outcome: Outcome, load: Option<&Load>) {
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::TimedOut);
        let (in_flight, memory) = (load.and_then(|l| l.in_flight), load.and_then(|l| l.memory));
        if let Some(id) = self.fleet.instance_id(host) {
            self.handle.tell(StateUpdate::Report(id, InstanceReport { failed, in_flight, memory }));
        }
    }
}
