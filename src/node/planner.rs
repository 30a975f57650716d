//! The planner: the task that owns a [`Router`]. It feeds events to the router and passes the resulting actions on to the tasks
//! of the requests and to the fleet.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::{Clock, to_duration};
use crate::api::*;
use crate::estimate::{FleetEstimates, SpeedCurve, Spending};
use crate::logic::Router;

/// Most inputs that the planner handles in one round.
const MAX_BATCH_INPUTS: usize = 256;

/// A command of the planner to the task of a request.
#[derive(Debug, PartialEq)]
pub enum RequestCommand {
    /// Send the request to a host, and give the attempt up after the given time.
    Send(HostId, Micros),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Give the final answer that the request is rejected, with the time after which the client should retry.
    Refuse(Option<Micros>),
    /// Give the final answer that the request failed.
    Fail,
    /// Release all that hosts hold for the request.
    Release,
    /// End the running stream, to be resumed elsewhere.
    MoveStream,
    /// The planner has processed the departure of the client and sends no further commands.
    ConfirmClientLeft,
}

/// A command of the planner that concerns the fleet and not a single request.
#[derive(Debug)]
pub enum FleetCommand {
    /// Ask a host for its load.
    Probe(HostId),
    /// Close idle connections to a host.
    CloseIdleConnections(HostId),
    /// Report that an attempt could not reach a host, timed out there or lost its connection.
    ReportFailure(HostId),
    /// Report that a host has failed this many times in a row.
    ReportSuspect(HostId, u32),
}

enum Input {
    NewRequest(NewRequest, UnboundedSender<RequestCommand>),
    Event(Event),
    RequestClosed(RequestId),
    Flush(oneshot::Sender<FleetEstimates>),
    AdoptEstimates(Vec<SpeedCurve>, [f64; 4]),
}

/// A handle to the task of a planner, for the forwarders.
#[derive(Clone)]
pub struct Planner {
    inputs: UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Planner {
    /// Starts a planner on the current local task set. `estimates` are those of an earlier planner with the same settings.
    pub fn start(
        settings: Settings, seed: u64, clock: Clock, estimates: Option<FleetEstimates>,
    ) -> (Self, UnboundedReceiver<FleetCommand>) {
        let (inputs, inbox) = mpsc::unbounded_channel();
        let (fleet_commands, command_receiver) = mpsc::unbounded_channel();
        let mut router = Router::new(settings, seed);
        if let Some(estimates) = estimates {
            router.fleet = estimates;
        }
        let task =
            PlannerTask { router, clock, requests: HashMap::new(), inputs: inputs.clone(), fleet_commands };
        tokio::task::spawn_local(task.run(inbox));
        (Planner { inputs, next_id: Rc::default() }, command_receiver)
    }

    /// Submits a new request, and assigns its id.
    pub fn submit(&self, mut request: NewRequest) -> RequestHandle {
        let id = RequestId(self.next_id.get() + 1);
        self.next_id.set(id.0);
        request.id = id;
        let (sender, commands) = mpsc::unbounded_channel();
        self.send(Input::NewRequest(request, sender));
        RequestHandle { id, planner: self.clone(), commands }
    }

    /// Updates the list of hosts: a complete list, or only the entries that changed.
    pub fn update_hosts(&self, is_complete: bool, members: Vec<Member>) {
        self.send(Input::Event(Event::HostList { is_complete, members }));
    }

    /// Reports that the watch on the list of hosts failed.
    pub fn host_list_failed(&self) {
        self.send(Input::Event(Event::HostListFailed));
    }

    /// Changes the settings for the requests that are submitted from now on.
    pub fn change_settings(&self, settings: Settings) {
        self.send(Input::Event(Event::SettingsChanged(Rc::new(settings))));
    }

    /// Updates the recent spending of all other conductors.
    pub fn update_peer_spending(&self, spending: Spending) {
        self.send(Input::Event(Event::PeerSpending(Rc::new(spending))));
    }

    /// Adopts the estimates of another conductor where they rest on more evidence than this planner's own.
    pub fn adopt_estimates(&self, curves: Vec<SpeedCurve>, means: [f64; 4]) {
        self.send(Input::AdoptEstimates(curves, means));
    }

    /// Reports how a probe ended.
    pub fn probe_ended(&self, host: HostId, outcome: Outcome, load: Option<Load>) {
        self.send(Input::Event(Event::ProbeEnded { host, outcome, load }));
    }

    /// Announces the shutdown of the process, and the time by which each request must be answered.
    pub fn begin_shutdown(&self, answers_until: Micros) {
        self.send(Input::Event(Event::Shutdown { answers_until }));
    }

    /// Announces that the process ends so soon that running streams have to be moved.
    pub fn move_streams(&self) {
        self.send(Input::Event(Event::MoveStreams));
    }

    /// Waits until all earlier inputs have been processed, and returns the estimates of the fleet at that point.
    pub async fn flush(&self) -> FleetEstimates {
        let (sender, flushed) = oneshot::channel();
        self.send(Input::Flush(sender));
        flushed.await.unwrap_or_default()
    }

    fn send(&self, input: Input) {
        // The planner's task runs as long as the process, so sending fails only while the process ends.
        let _ = self.inputs.send(input);
    }
}

/// What an ended attempt has shown, beside its outcome.
#[derive(Debug, Default)]
pub struct AttemptReport {
    /// Prompt tokens that the host found in its cache.
    pub cached_tokens: f64,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The host's load report, where the answer carried one.
    pub load: Option<Load>,
}

/// A request's registration with its planner. Dropping it tells the planner that the request's task has ended.
pub struct RequestHandle {
    id: RequestId,
    planner: Planner,
    commands: UnboundedReceiver<RequestCommand>,
}

impl RequestHandle {
    /// Waits for the next command; if the planner has ended, the request has failed.
    pub async fn next_command(&mut self) -> RequestCommand {
        self.commands.recv().await.unwrap_or(RequestCommand::Fail)
    }

    /// Returns the number by which the router's events and actions name the request.
    pub fn number(&self) -> u64 {
        self.id.0
    }

    /// Reports the first token of an answer.
    pub fn first_token(&self, attempt: AttemptId, host: HostId, elapsed: Micros) {
        self.planner.send(Input::Event(Event::FirstToken { request: self.id, attempt, host, elapsed }));
    }

    /// Reports how an attempt ended. `is_final` is set when the request has its final answer.
    pub fn attempt_ended(
        &self, attempt: AttemptId, host: HostId, outcome: Outcome, is_final: bool, report: AttemptReport,
    ) {
        let AttemptReport { cached_tokens, elapsed, load } = report;
        let event = Event::AttemptEnded {
            request: self.id,
            attempt,
            host,
            outcome,
            is_final,
            cached_tokens,
            elapsed,
            load,
        };
        self.planner.send(Input::Event(event));
    }

    /// Reports that the client left; [`RequestCommand::ConfirmClientLeft`] follows.
    pub fn client_left(&self) {
        self.planner.send(Input::Event(Event::ClientLeft(self.id)));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.planner.send(Input::RequestClosed(self.id));
    }
}

/// Whether the outcome of an attempt means that no conductor should send requests to its host for now.
fn is_host_failure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unreachable | Outcome::TimedOut | Outcome::Broken)
}

struct PlannerTask {
    router: Router,
    clock: Clock,
    requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    inputs: UnboundedSender<Input>,
    fleet_commands: UnboundedSender<FleetCommand>,
}

impl PlannerTask {
    async fn run(mut self, mut inbox: UnboundedReceiver<Input>) {
        let (mut inputs, mut events, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // All inputs that have arrived are handled in one round, like a batch of the adapter.
        while inbox.recv_many(&mut inputs, MAX_BATCH_INPUTS).await > 0 {
            let mut clients_left = Vec::new();
            let mut closed_requests = Vec::new();
            let mut flushes = Vec::new();
            for input in inputs.drain(..) {
                match input {
                    Input::NewRequest(request, commands) => {
                        self.requests.insert(request.id, commands);
                        events.push(Event::Request(request));
                    }
                    Input::Event(event) => {
                        match &event {
                            Event::ClientLeft(id) => clients_left.push(*id),
                            Event::AttemptEnded { host, outcome, .. } if is_host_failure(*outcome) => {
                                let _ = self.fleet_commands.send(FleetCommand::ReportFailure(*host));
                            }
                            _ => {}
                        }
                        events.push(event);
                    }
                    Input::RequestClosed(id) => closed_requests.push(id),
                    Input::Flush(sender) => flushes.push(sender),
                    Input::AdoptEstimates(curves, means) => {
                        self.router.fleet.adopt(self.clock.now(), &curves, means)
                    }
                }
            }
            self.router.handle(self.clock.now(), &events, &mut actions);
            if tracing::enabled!(tracing::Level::DEBUG) {
                // Logs all inputs and outputs of the router, so that its decisions can be traced afterwards.
                let logged_events = events.iter().filter(|event| !matches!(event, Event::TimerExpired(_)));
                logged_events.for_each(|event| tracing::debug!("told: {event:?}"));
                let logged_actions =
                    actions.iter().filter(|action| !matches!(action, Action::SetTimer { .. }));
                logged_actions.for_each(|action| tracing::debug!("said: {action:?}"));
            }
            events.clear();
            for action in actions.drain(..) {
                self.execute(action);
            }
            clients_left.into_iter().for_each(|id| self.command(id, RequestCommand::ConfirmClientLeft));
            closed_requests.iter().for_each(|id| drop(self.requests.remove(id)));
            flushes.into_iter().for_each(|sender| drop(sender.send(self.router.fleet.clone())));
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, host, time_out } => {
                self.command(request, RequestCommand::Send(host, time_out))
            }
            Action::Cancel { request, attempt } => self.command(request, RequestCommand::Cancel(attempt)),
            Action::Refuse { request, retry_after } => {
                self.command(request, RequestCommand::Refuse(retry_after))
            }
            Action::Fail(request) => self.command(request, RequestCommand::Fail),
            Action::Release(request) => self.command(request, RequestCommand::Release),
            Action::MoveStream(request) => self.command(request, RequestCommand::MoveStream),
            Action::Probe(host) => drop(self.fleet_commands.send(FleetCommand::Probe(host))),
            Action::CloseIdleConnections(host) => {
                drop(self.fleet_commands.send(FleetCommand::CloseIdleConnections(host)))
            }
            Action::SetTimer { token, after } => {
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(to_duration(after)).await;
                    let _ = inputs.send(Input::Event(Event::TimerExpired(token)));
                });
            }
            // The list of hosts is always watched, and these protocols cannot reserve a place at a writer.
            Action::ListHosts | Action::WatchHosts | Action::ReserveWriter { .. } => {}
            Action::Suspect { host, failures } => {
                drop(self.fleet_commands.send(FleetCommand::ReportSuspect(host, failures)))
            }
            Action::Log(line) => tracing::info!("planner: {line}"),
        }
    }

    /// Sends a command to the task of a request. A request whose task has ended needs none.
    fn command(&self, id: RequestId, command: RequestCommand) {
        if let Some(commands) = self.requests.get(&id) {
            let _ = commands.send(command);
        }
    }
}
