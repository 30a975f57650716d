//! The network side of shared state: reports this conductor's spending, estimates and observations of instances to the ledger's
//! thread, and applies what the other conductors report to its own planner and fleet.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::counters::add;
use super::list::fleet::Fleet;
use super::planner::FleetCommand;
use super::{Clock, Core, log_suspect};
use crate::api::{HostId, Load, Micros, Outcome};
use crate::control::controller::{Handle, StateUpdate};
use crate::replica::marks::{Marks, Subject};
use crate::replica::share::SharedStateEvent;
use crate::replica::store::InstanceReport;
use crate::replica::sync::CATCH_UP_TIMEOUT_US;

/// Interval at which spending and estimates are reported.
const ESTIMATES_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two reported failures of one instance, in microseconds.
const MIN_FAILURE_REPORT_INTERVAL_US: Micros = 300_000;

/// The state that conductors share, as the network side sees it.
pub struct SharedState {
    handle: Handle,
    fleet: Rc<Fleet>,
    clock: Clock,
    catch_up_result: watch::Sender<Option<bool>>,
    /// Operators' marks, and the times at which instances returned, in Unix milliseconds.
    marks_and_returns: RefCell<(Marks, BTreeMap<String, i64>)>,
    /// Instances that are banned because of the shared marks. A ban that an operator has just requested at this conductor is not
    /// yet included.
    banned_by_marks: RefCell<BTreeSet<String>>,
    failures_reported_at: RefCell<HashMap<HostId, Micros>>,
    is_drained: Cell<bool>,
}

impl SharedState {
    /// Returns the shared state of this fleet.
    pub fn new(handle: Handle, fleet: Rc<Fleet>, clock: Clock) -> Rc<Self> {
        Rc::new(SharedState {
            handle,
            fleet,
            clock,
            catch_up_result: watch::Sender::new(None),
            marks_and_returns: RefCell::default(),
            banned_by_marks: RefCell::default(),
            failures_reported_at: RefCell::default(),
            is_drained: Cell::new(false),
        })
    }

    /// Waits until the local replica has caught up with another conductor's or has stopped waiting for one. Operators' bans are
    /// in force then.
    pub async fn wait_until_caught_up(&self) {
        let mut catch_up_result = self.catch_up_result.subscribe();
        // The ledger's thread has its own time limit; this one only guards against the end of that thread.
        let time_limit = Duration::from_micros(2 * CATCH_UP_TIMEOUT_US as u64);
        let result = timeout(time_limit, catch_up_result.wait_for(Option::is_some)).await;
        if !matches!(result, Ok(Ok(result)) if *result == Some(true)) {
            tracing::warn!(
                "state: not caught up with another conductor in time; serving with the local copy"
            );
        }
    }

    /// Exchanges updates with the ledger's thread until that thread ends. `me` is this conductor's name; `on_drain_change` is
    /// called when operators start or end its drain.
    pub async fn run(
        self: Rc<Self>, me: String, mut events: mpsc::UnboundedReceiver<SharedStateEvent>,
        on_drain_change: impl Fn(bool),
    ) {
        let mut ticks = interval(ESTIMATES_REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let estimates = self.fleet.core().planner.flush().await;
                    self.handle.tell(StateUpdate::Figures(Box::new(estimates)));
                    // An instance that discovery has just listed may be under maintenance.
                    self.apply_marks().await;
                }
                event = events.recv() => match event {
                    Some(event) => self.handle_event(&me, event, &on_drain_change).await,
                    None => return,
                },
            }
        }
    }

    async fn handle_event(&self, me: &str, event: SharedStateEvent, on_drain_change: &impl Fn(bool)) {
        let planner = &self.fleet.core().planner;
        match event {
            SharedStateEvent::OthersSpending(spending) => planner.update_peer_spending(spending),
            SharedStateEvent::Reports(reports) => {
                for (instance, report) in reports {
                    let Some(host) = self.fleet.host(&instance) else { continue };
                    add(&self.fleet.core().counters.reports_heard);
                    let outcome = if report.failed { Outcome::Unreachable } else { Outcome::Served };
                    planner.probe_ended(host, outcome, Some(report.load()).filter(|_| !report.failed));
                }
            }
            SharedStateEvent::Marks(marks, returns) => {
                let is_drained = marks.marked_since(&Subject::Conductor(me.into())).is_some();
                *self.marks_and_returns.borrow_mut() = (marks, returns);
                self.apply_marks().await;
                if self.is_drained.replace(is_drained) != is_drained {
                    on_drain_change(is_drained);
                }
            }
            SharedStateEvent::Learnt(figures) => planner.adopt_estimates(figures.curves, figures.means),
            SharedStateEvent::CaughtUp(succeeded) => drop(self.catch_up_result.send_replace(Some(succeeded))),
        }
    }

    /// Applies operators' marks to the fleet as it is known now.
    async fn apply_marks(&self) {
        let (marks, returns) = self.marks_and_returns.borrow().clone();
        let instance_id = |(subject, _): (&Subject, Micros)| match subject {
            Subject::Instance(id) => Some(id.clone()),
            Subject::Conductor(_) => None,
        };
        let marked: BTreeSet<String> = marks.iter().filter_map(instance_id).collect();
        let previously_marked = self.banned_by_marks.replace(marked.clone());
        let membership = self.fleet.membership();
        for id in marked.iter().filter(|id| !membership.bans().contains_key(*id)) {
            let _ = self.fleet.ban(id).await;
        }
        for id in previously_marked.difference(&marked).filter(|id| membership.bans().contains_key(*id)) {
            let _ = self.fleet.lift_ban(id).await;
        }
        self.fleet.merge_returns(&returns);
    }

    /// Carries out the planner's commands for the fleet, except probes for which another conductor is responsible.
    pub async fn run_fleet_commands(
        self: Rc<Self>, core: Core, mut commands: mpsc::UnboundedReceiver<FleetCommand>,
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                FleetCommand::CloseIdleConnections(host) => core.upstream.pool().close_idle(host),
                FleetCommand::ReportSuspect(host, failures) => log_suspect(&core, host, failures),
                FleetCommand::Probe(host) => {
                    if !self.handle.duties.is_assigned(|| self.clock.now(), u64::from(host.0)) {
                        add(&core.counters.probes_left);
                        continue;
                    }
                    let (core, shared) = (core.clone(), self.clone());
                    tokio::task::spawn_local(async move {
                        let (outcome, load) = core.upstream.probe(host).await;
                        shared.report_observation(host, outcome, load.as_ref());
                        core.planner.probe_ended(host, outcome, load);
                    });
                }
                FleetCommand::ReportFailure(host) => {
                    let now = self.clock.now();
                    let is_recent = |at: &Micros| now < at.saturating_add(MIN_FAILURE_REPORT_INTERVAL_US);
                    let mut reported_at = self.failures_reported_at.borrow_mut();
                    reported_at.retain(|_, at| is_recent(at));
                    let is_due = !reported_at.contains_key(&host);
                    reported_at.entry(host).or_insert(now);
                    drop(reported_at);
                    if is_due {
                        self.report_observation(host, Outcome::Unreachable, None);
                    }
                }
            }
        }
    }

    /// Reports to the other conductors how a probe or an attempt found an instance.
    fn report_observation(&self, host: HostId, outcome: Outcome, load: Option<&Load>) {
        let failed = matches!(outcome, Outcome::Unreachable | Outcome::TimedOut);
        let (in_flight, memory) = (load.and_then(|load| load.in_flight), load.and_then(|load| load.memory));
        if let Some(id) = self.fleet.instance_id(host) {
            self.handle.tell(StateUpdate::Report(id, InstanceReport { failed, in_flight, memory }));
        }
    }
}
