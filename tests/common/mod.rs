//! A small harness for one controller: settings, offices and calls made by hand.
#![allow(dead_code)]

use mallowring::interface::*;
use mallowring::Controller;

pub const OWN_NUMBER: i64 = 0;

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

pub fn exchange_id(number: i64) -> ExchangeId {
    roster_entry(number).id
}

pub struct ControllerHarness {
    pub controller: Controller,
    pub now: f64,
    calls: u32,
}

impl ControllerHarness {
    /// A controller that has heard of exchanges 0 to 4, with 30 free circuits to each.
    pub fn new(settings: Settings) -> Self {
        ControllerHarness::with_seed(settings, 7)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let mut harness =
            ControllerHarness { controller: Controller::new(settings, seed), now: 1000.0, calls: 0 };
        harness.controller.start(Time(harness.now), &mut Vec::new());
        harness
            .handle(Event::Roster { kind: RosterKind::Saved, entries: (0..5).map(roster_entry).collect() });
        for number in 1..5 {
            harness.report_circuits(number, 30.0, 30.0);
        }
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(Time(self.now), event, &mut out);
        out
    }

    pub fn update_roster(&mut self, kind: RosterKind, offices: Vec<RosterEntry>) -> Vec<Action> {
        self.handle(Event::Roster { kind, entries: offices })
    }

    pub fn report_circuits(&mut self, number: i64, free: f64, size: f64) {
        let report =
            LoadReport { free_circuits: Some(free), group_size: Some(size), ..LoadReport::default() };
        self.handle(Event::Status { exchange: exchange_id(number), ok: true, elapsed: 0.0, report });
    }

    /// A report of the wait at a far processor, as a probe would bring it.
    pub fn report_wait(&mut self, number: i64, wait: f64) {
        let report = LoadReport { queueing_delay: Some(wait), ..LoadReport::default() };
        self.handle(Event::Status { exchange: exchange_id(number), ok: true, elapsed: 0.01, report });
    }

    pub fn arrival(&mut self, dest: i64) -> Arrival {
        self.calls += 1;
        Arrival {
            id: CallId(format!("call-{}", self.calls)),
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

    pub fn place_call(&mut self, dest: i64) -> (CallId, Vec<Action>) {
        let arrival = self.arrival(dest);
        (arrival.id.clone(), self.handle(Event::Arrival(arrival)))
    }

    pub fn establish(&mut self, id: &CallId, leg: u32, number: i64, took: f64) -> Vec<Action> {
        self.handle(Event::Established { id: id.clone(), leg, exchange: exchange_id(number), elapsed: took })
    }

    pub fn end_attempt(
        &mut self,
        id: &CallId,
        leg: u32,
        number: i64,
        outcome: Outcome,
        why: Cause,
    ) -> Vec<Action> {
        let answer = AttemptResult {
            id: id.clone(),
            leg,
            exchange: exchange_id(number),
            outcome,
            elapsed: 1.2,
            cause: why,
            retry_after: None,
            concluded: false,
            report: LoadReport::default(),
        };
        self.handle(Event::AttemptEnded(answer))
    }

    /// Fires the timer of `actions` when it is due.
    pub fn expire_timer(&mut self, actions: &[Action]) -> Vec<Action> {
        let Some(Action::Timer { after, token }) = actions.iter().find(|a| matches!(a, Action::Timer { .. }))
        else {
            panic!("no timer in {actions:?}");
        };
        self.now += after;
        self.handle(Event::Timer(*token))
    }

    /// How many of `n` normal calls to `dest` are refused; sent ones are set up at once.
    pub fn count_refused(&mut self, dest: i64, n: u32) -> u32 {
        let mut count = 0;
        for _ in 0..n {
            let (id, actions) = self.place_call(dest);
            if is_refused(&actions) {
                count += 1;
            } else if let Some(office) = sent_to(&actions) {
                self.establish(&id, 0, office.0 as i64 - 100, 0.4);
            }
        }
        count
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { exchange: office, .. } => Some(*office),
        _ => None,
    })
}

pub fn is_refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

pub fn is_failed(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail(_)])
}
