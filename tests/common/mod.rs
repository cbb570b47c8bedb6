//! A test harness for one controller: default settings, roster entries, and helpers that send events to the
//! controller and examine its actions.

// Each test program compiles this module and uses only a part of it.
#![allow(dead_code)]

use mallowring::interface::*;
use mallowring::Controller;

/// The number of the exchange that the proxy under test serves.
pub const OWN_NUMBER: i64 = 0;

/// A class with a set-up target of 1.2 s.
pub fn class(worth: f64, width: u32) -> Class {
    Class {
        name: format!("class-{worth}-{width}"),
        target: 1.2,
        give_up_after: 9.0,
        repeat_semantics: RepeatSemantics::Idempotent,
        duplicate_window: 5.0,
        worth,
        late_worth_share: 0.25,
        width,
        mean_holding_time: 10.0,
        pools: Vec::new(),
    }
}

/// Settings of a network with four proxies, a normal class and an urgent class.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(1.0, 1), class(3.0, 4)],
        proxies: 4,
        own_exchange: Some(ExchangeNumber(OWN_NUMBER)),
        service_kind: ServiceKind::Network,
        discovery: Discovery::Pushed,
        load_reporting: LoadReporting::Piggybacked,
        release_pause: 0.3,
        retransmit_after: 0.5,
        retry_after_provided: false,
        centre_advises: true,
        cancel_allowed: true,
        probing_allowed: false,
        peer_messages_allowed: false,
        cool_down_allowed: true,
        max_cool_down: 2.0,
        max_attempts: 6,
        answer_slack: 0.02,
        poll_interval: 10.0,
        drain_grace: 0.5,
        cold_share: 0.3,
        warm_up_time: 13.0,
        collapse_multiple: 2.5,
        collapse_time: 1.0,
        probe_cost: 0.004,
        tick: 0.005,
    }
}

/// The roster entry of a warm exchange in service.
pub fn roster_entry(number: i64) -> RosterEntry {
    RosterEntry {
        id: ExchangeId(100 + number as u64),
        zone: "z".into(),
        number: ExchangeNumber(number),
        state: ServiceState::InService,
        weight: 1.0,
        ready_at: None,
    }
}

/// The id that [`roster_entry`] gives to the exchange with this number.
pub fn exchange_id(number: i64) -> ExchangeId {
    roster_entry(number).id
}

/// One controller and its clock.
pub struct ControllerHarness {
    pub controller: Controller,
    /// The time of the next event, in seconds.
    pub now: f64,
    /// The number of calls so far, from which the call ids are derived.
    call_count: u32,
}

impl ControllerHarness {
    /// A controller with exchanges 0 to 4 on its roster and 30 free circuits to each of the others.
    pub fn new(settings: Settings) -> Self {
        ControllerHarness::with_seed(settings, 7)
    }

    /// The same with a given seed of the controller's random draws.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let mut harness =
            ControllerHarness { controller: Controller::new(settings, seed), now: 1000.0, call_count: 0 };
        harness.controller.start(Time(harness.now), &mut Vec::new());
        harness
            .handle(Event::Roster { kind: RosterKind::Saved, entries: (0..5).map(roster_entry).collect() });
        for number in 1..5 {
            harness.report_circuits(number, 30.0, 30.0);
        }
        harness
    }

    /// Sends one event to the controller and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(Time(self.now), event, &mut actions);
        actions
    }

    /// Sends a roster message.
    pub fn update_roster(&mut self, kind: RosterKind, roster: Vec<RosterEntry>) -> Vec<Action> {
        self.handle(Event::Roster { kind, entries: roster })
    }

    /// Reports the free circuits and the size of the trunk group to an exchange.
    pub fn report_circuits(&mut self, number: i64, free: f64, size: f64) {
        let report =
            LoadReport { free_circuits: Some(free), group_size: Some(size), ..LoadReport::default() };
        self.handle(Event::Status { exchange: exchange_id(number), ok: true, elapsed: 0.0, report });
    }

    /// Reports the queueing delay at the processor of an exchange, as the result of a probe.
    pub fn report_wait(&mut self, number: i64, wait: f64) {
        let report = LoadReport { queueing_delay: Some(wait), ..LoadReport::default() };
        self.handle(Event::Status { exchange: exchange_id(number), ok: true, elapsed: 0.01, report });
    }

    /// A first set-up of the normal class with a new call id, one circuit wide. It is not sent.
    pub fn arrival(&mut self, dest: i64) -> Arrival {
        self.call_count += 1;
        Arrival {
            id: CallId(format!("call-{}", self.call_count)),
            ttl: 3.0,
            transit: false,
            hop: None,
            re_established: false,
            width: 1,
            redial: false,
            dest: ExchangeNumber(dest),
            class: ClassIndex(0),
            number: None,
        }
    }

    /// Sends the arrival of a new call; returns its id and the resulting actions.
    pub fn place_call(&mut self, dest: i64) -> (CallId, Vec<Action>) {
        let arrival = self.arrival(dest);
        (arrival.id.clone(), self.handle(Event::Arrival(arrival)))
    }

    /// Reports that an attempt established its call `set_up_time` seconds after the set-up was sent.
    pub fn establish(&mut self, id: &CallId, leg: u32, number: i64, set_up_time: f64) -> Vec<Action> {
        self.handle(Event::Established {
            id: id.clone(),
            leg,
            exchange: exchange_id(number),
            elapsed: set_up_time,
        })
    }

    /// Reports that an attempt failed, 1.2 s after the set-up was sent.
    pub fn end_attempt(
        &mut self,
        id: &CallId,
        leg: u32,
        number: i64,
        outcome: Outcome,
        failure_cause: Cause,
    ) -> Vec<Action> {
        let result = AttemptResult {
            id: id.clone(),
            leg,
            exchange: exchange_id(number),
            outcome,
            elapsed: 1.2,
            cause: failure_cause,
            retry_after: None,
            concluded: false,
            unconfirmed: false,
            report: LoadReport::default(),
        };
        self.handle(Event::AttemptEnded(result))
    }

    /// Advances the clock to the expiry of the timer that `actions` start, and reports the expiry.
    pub fn expire_timer(&mut self, actions: &[Action]) -> Vec<Action> {
        let Some(Action::Timer { after, token }) =
            actions.iter().find(|action| matches!(action, Action::Timer { .. }))
        else {
            panic!("no timer in {actions:?}");
        };
        self.now += after;
        self.handle(Event::Timer(*token))
    }

    /// Places `n` normal calls to `dest` and returns how many are refused. Each of the others is established with a
    /// set-up time of 0.4 s before the next call arrives.
    pub fn count_refused(&mut self, dest: i64, n: u32) -> u32 {
        let mut refused_count = 0;
        for _ in 0..n {
            let (id, actions) = self.place_call(dest);
            if is_refused(&actions) {
                refused_count += 1;
            } else if let Some(receiver) = sent_to(&actions) {
                self.establish(&id, 0, receiver.0 as i64 - 100, 0.4);
            }
        }
        refused_count
    }
}

/// The exchange to which the actions send a set-up, if they send one.
pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { exchange: receiver, .. } => Some(*receiver),
        _ => None,
    })
}

/// Whether the only action is the refusal of the call.
pub fn is_refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

/// Whether the only action is the final failure of the call.
pub fn is_failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail(_)])
}
