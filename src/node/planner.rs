//! The planner: sole owner of a [`Router`]. Events go in, its actions go to the requests' tasks.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::{Clock, span};
use crate::api::*;
use crate::estimate::{FleetEstimates, SpeedCurve, Spending};
use crate::logic::Router;

/// What a planner wants of a request's task.
#[derive(Debug, PartialEq)]
pub enum Order {
    /// Send it to a host; give the attempt up after this long.
    Send(HostId, Micros),
    /// Withdraw an attempt.
    Cancel(AttemptId),
    /// Final answer: refused, to come back after this long.
    Refuse(Option<Micros>),
    /// Final answer: failed.
    Fail,
    /// Let go of all that is held for it.
    Release,
    /// End its running stream, to be resumed elsewhere.
    Move,
    /// The planner knows that the client left and sends nothing more.
    Parted,
}

/// What a planner wants of the fleet as a whole.
#[derive(Debug)]
pub enum FleetOrder {
    /// Ask a host how it is.
    Probe(HostId),
    /// Close idle connections to a host.
    Close(HostId),
    /// An attempt found a host unreachable or silent, or lost its connection.
    Failed(HostId),
    /// A host has failed so many times in a row.
    Suspect(HostId, u32),
}

enum Input {
    Arrive(NewRequest, UnboundedSender<Order>),
    Tell(Event),
    Closed(RequestId),
    Mark(oneshot::Sender<FleetEstimates>),
    Adopt(Vec<SpeedCurve>, [f64; 4]),
}

/// The forwarders' way to a planner.
#[derive(Clone)]
pub struct Planner {
    inputs: UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Planner {
    /// Starts a planner on the current local task set, with what one of the same settings has learnt before.
    pub fn start(
        settings: Settings, seed: u64, clock: Clock, learnt: Option<FleetEstimates>,
    ) -> (Self, UnboundedReceiver<FleetOrder>) {
        let (inputs, inbox) = mpsc::unbounded_channel();
        let (fleet, fleet_orders) = mpsc::unbounded_channel();
        let mut router = Router::new(settings, seed);
        if let Some(learnt) = learnt {
            router.fleet = learnt;
        }
        let task = PlannerTask { router, clock, handles: HashMap::new(), inputs: inputs.clone(), fleet };
        tokio::task::spawn_local(task.run(inbox));
        (Planner { inputs, next_id: Rc::default() }, fleet_orders)
    }

    /// Brings a new request; its id is given here.
    pub fn arrive(&self, mut ask: NewRequest) -> RequestHandle {
        let id = RequestId(self.next_id.get() + 1);
        self.next_id.set(id.0);
        ask.id = id;
        let (sender, orders) = mpsc::unbounded_channel();
        self.put(Input::Arrive(ask, sender));
        RequestHandle { id, planner: self.clone(), orders }
    }

    /// Tells the list of hosts, whole or only its changes.
    pub fn hosts(&self, whole: bool, members: Vec<Member>) {
        self.put(Input::Tell(Event::HostList { is_complete: whole, members }));
    }

    /// Tells that following the list broke off.
    pub fn hosts_failed(&self) {
        self.put(Input::Tell(Event::HostListFailed));
    }

    /// Tells the settings by which requests are decided that are brought from now on.
    pub fn policy(&self, settings: Settings) {
        self.put(Input::Tell(Event::SettingsChanged(Rc::new(settings))));
    }

    /// Tells what all other conductors have spent lately.
    pub fn others(&self, spent: Spending) {
        self.put(Input::Tell(Event::PeerSpending(Rc::new(spent))));
    }

    /// Hands over what another has learnt; it counts where this one knows less.
    pub fn adopt(&self, curves: Vec<SpeedCurve>, means: [f64; 4]) {
        self.put(Input::Adopt(curves, means));
    }

    /// Tells how a probe ended.
    pub fn probed(&self, host: HostId, outcome: Outcome, load: Option<Load>) {
        self.put(Input::Tell(Event::ProbeEnded { host, outcome, load }));
    }

    /// Tells that the process has been told to end, and by when each request must be answered.
    pub fn shut_down(&self, answers_until: Micros) {
        self.put(Input::Tell(Event::Shutdown { answers_until }));
    }

    /// Tells that the process ends so soon that streams are to be moved.
    pub fn move_streams(&self) {
        self.put(Input::Tell(Event::MoveStreams));
    }

    /// Waits until all that was told before is decided on, and gives what is known then of all hosts.
    pub async fn settled(&self) -> FleetEstimates {
        let (mark, reached) = oneshot::channel();
        self.put(Input::Mark(mark));
        reached.await.unwrap_or_default()
    }

    fn put(&self, input: Input) {
        // A planner lives as long as the process; the send fails only while that ends.
        let _ = self.inputs.send(input);
    }
}

/// How an attempt ended, for the planner.
#[derive(Debug, Default)]
pub struct End {
    /// Prompt tokens found kept.
    pub kept: f64,
    /// Time since it was sent.
    pub took: Micros,
    /// The host's report, where one came along.
    pub load: Option<Load>,
}

/// A request's place at its planner, given back when dropped.
pub struct RequestHandle {
    id: RequestId,
    planner: Planner,
    orders: UnboundedReceiver<Order>,
}

impl RequestHandle {
    /// The next order; without a planner there is none, and the request has failed.
    pub async fn next(&mut self) -> Order {
        self.orders.recv().await.unwrap_or(Order::Fail)
    }

    /// Its number in what the module is told and says.
    pub fn number(&self) -> u64 {
        self.id.0
    }

    /// Tells that an answer's first token is out.
    pub fn began(&self, attempt: AttemptId, host: HostId, took: Micros) {
        self.planner.put(Input::Tell(Event::FirstToken { request: self.id, attempt, host, elapsed: took }));
    }

    /// Tells how an attempt ended; `last` when the request has its final answer.
    pub fn ended(&self, attempt: AttemptId, host: HostId, outcome: Outcome, last: bool, end: End) {
        let End { kept, took, load } = end;
        let event = Event::AttemptEnded {
            request: self.id,
            attempt,
            host,
            outcome,
            is_final: last,
            cached_tokens: kept,
            elapsed: took,
            load,
        };
        self.planner.put(Input::Tell(event));
    }

    /// Tells that the client left; [`Order::Parted`] follows.
    pub fn left(&self) {
        self.planner.put(Input::Tell(Event::ClientLeft(self.id)));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.planner.put(Input::Closed(self.id));
    }
}

/// Whether an attempt that ended so tells that nobody should go to its host now.
fn lost(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unreachable | Outcome::TimedOut | Outcome::Broken)
}

struct PlannerTask {
    router: Router,
    clock: Clock,
    handles: HashMap<RequestId, UnboundedSender<Order>>,
    inputs: UnboundedSender<Input>,
    fleet: UnboundedSender<FleetOrder>,
}

impl PlannerTask {
    async fn run(mut self, mut inbox: UnboundedReceiver<Input>) {
        let (mut inputs, mut events, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // Everything that has come in is one round, as a batch is for the adapter.
        while inbox.recv_many(&mut inputs, 256).await > 0 {
            let mut parted = Vec::new();
            let mut closed = Vec::new();
            let mut marks = Vec::new();
            for input in inputs.drain(..) {
                match input {
                    Input::Arrive(ask, handle) => {
                        self.handles.insert(ask.id, handle);
                        events.push(Event::Request(ask));
                    }
                    Input::Tell(event) => {
                        match &event {
                            Event::ClientLeft(id) => parted.push(*id),
                            Event::AttemptEnded { host, outcome, .. } if lost(*outcome) => {
                                let _ = self.fleet.send(FleetOrder::Failed(*host));
                            }
                            _ => {}
                        }
                        events.push(event);
                    }
                    Input::Closed(id) => closed.push(id),
                    Input::Mark(mark) => marks.push(mark),
                    Input::Adopt(curves, means) => self.router.fleet.adopt(self.clock.now(), &curves, means),
                }
            }
            self.router.handle(self.clock.now(), &events, &mut actions);
            if tracing::enabled!(tracing::Level::DEBUG) {
                // A whole record of what the module was told and said, by which a day can be followed.
                let told = events.iter().filter(|e| !matches!(e, Event::TimerExpired(_)));
                told.for_each(|event| tracing::debug!("told: {event:?}"));
                let said = actions.iter().filter(|a| !matches!(a, Action::SetTimer { .. }));
                said.for_each(|action| tracing::debug!("said: {action:?}"));
            }
            events.clear();
            for action in actions.drain(..) {
                self.act(action);
            }
            parted.into_iter().for_each(|id| self.order(id, Order::Parted));
            closed.iter().for_each(|id| drop(self.handles.remove(id)));
            marks.into_iter().for_each(|mark| drop(mark.send(self.router.fleet.clone())));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, host, time_out } => self.order(request, Order::Send(host, time_out)),
            Action::Cancel { request, attempt } => self.order(request, Order::Cancel(attempt)),
            Action::Refuse { request, retry_after } => self.order(request, Order::Refuse(retry_after)),
            Action::Fail(request) => self.order(request, Order::Fail),
            Action::Release(request) => self.order(request, Order::Release),
            Action::MoveStream(request) => self.order(request, Order::Move),
            Action::Probe(host) => drop(self.fleet.send(FleetOrder::Probe(host))),
            Action::CloseIdleConnections(host) => drop(self.fleet.send(FleetOrder::Close(host))),
            Action::SetTimer { token, after } => {
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(span(after)).await;
                    let _ = inputs.send(Input::Tell(Event::TimerExpired(token)));
                });
            }
            // The list is always followed, and no place can be held ahead on these protocols.
            Action::ListHosts | Action::WatchHosts | Action::ReserveWriter { .. } => {}
            Action::Suspect { host, failures } => drop(self.fleet.send(FleetOrder::Suspect(host, failures))),
            Action::Log(line) => tracing::info!("planner: {line}"),
        }
    }

    /// A request whose task has ended needs no orders.
    fn order(&self, id: RequestId, order: Order) {
        if let Some(handle) = self.handles.get(&id) {
            let _ = handle.send(order);
        }
    }
}
