//! Stateful property test: ledgers under random faults must bill each request at most once, and
//! exactly once if its answer was released with a replicated bill.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use types::prelude::*;

use super::fleet::{Fleet, Pending, peer};

const DAEMONS: usize = 4;
const REQUESTS: u32 = 16;
/// Time to find new holders; longer than the time for which a failed holder is avoided.
const RECOVERY: Span = Span::from_secs(6);

#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// A daemon answers a request, which another one may have answered before.
    Serve(usize, u32),
    Deliver(usize),
    DeliverAll,
    Tick(u64),
    /// A reply of the store is lost; the write takes effect now or later.
    LoseReply(usize, bool),
    DropMessage(usize),
    /// One of the delayed writes takes effect.
    ApplyDelayed,
    Store(bool),
    /// A daemon loses or regains its connection to the store, but not to its peers.
    CutOff(usize, bool),
    Pause(usize),
    Resume(usize),
    /// A host crashes and is replaced.
    Replace(usize),
}

pub(crate) struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let daemon = 0..DAEMONS;
        let pick = 0..64_usize;
        prop_oneof![
            6 => (daemon.clone(), 0..REQUESTS).prop_map(|(on, number)| Step::Serve(on, number)),
            6 => pick.clone().prop_map(Step::Deliver),
            3 => Just(Step::DeliverAll),
            6 => (1..4000_u64).prop_map(Step::Tick),
            2 => (pick.clone(), any::<bool>()).prop_map(|(at, late)| Step::LoseReply(at, late)),
            1 => pick.prop_map(Step::DropMessage),
            1 => Just(Step::ApplyDelayed),
            1 => any::<bool>().prop_map(Step::Store),
            1 => (daemon.clone(), any::<bool>()).prop_map(|(on, is)| Step::CutOff(on, is)),
            1 => daemon.clone().prop_map(Step::Pause),
            1 => daemon.clone().prop_map(Step::Resume),
            2 => daemon.prop_map(Step::Replace),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The fleet, with the index of each host's current incarnation.
pub(crate) struct Hosts {
    fleet: Fleet,
    runs: [usize; DAEMONS],
    /// A host has crashed, so some bills may have only one copy.
    is_recovering: bool,
}

impl Hosts {
    fn pick(&self, number: usize) -> Option<usize> {
        let count = self.fleet.pending.len();
        (count > 0).then(|| number % count)
    }

    /// Crashes and replaces a host. Bills survive only one crash at a time, so the fleet gets time
    /// to find new holders before the next one.
    fn replace(&mut self, host: usize) {
        let any_paused = self
            .runs
            .iter()
            .any(|run| self.fleet.daemons[*run].is_paused);
        if self.is_recovering || any_paused {
            self.runs
                .iter()
                .for_each(|run| self.fleet.daemons[*run].is_paused = false);
            self.fleet.run(RECOVERY);
            self.is_recovering = false;
        } else {
            self.fleet.crash(self.runs[host]);
            self.runs[host] = self.fleet.start(peer(host));
            self.is_recovering = true;
        }
    }

    fn deliver(&mut self, number: usize) {
        if let Some(at) = self.pick(number) {
            self.fleet.deliver(at);
        }
    }

    fn drop_message(&mut self, number: usize) {
        if let Some(at) = self.pick(number)
            && matches!(self.fleet.pending[at], Pending::Message { .. })
        {
            self.fleet.pending.remove(at);
        }
    }
}

impl StateMachineTest for Hosts {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test((): &()) -> Self {
        let mut fleet = Fleet::new(DAEMONS, |_| {});
        fleet.tick(Span::from_millis(1));
        Self {
            fleet,
            runs: std::array::from_fn(|host| host),
            is_recovering: false,
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        let fleet = &mut state.fleet;
        match step {
            Step::Serve(host, number) => fleet.serve(state.runs[host], number),
            Step::Deliver(number) => state.deliver(number),
            Step::DeliverAll => fleet.deliver_all(),
            Step::Tick(millis) => fleet.tick(Span::from_millis(millis)),
            Step::LoseReply(number, late) => {
                if let Some(at) = state.pick(number) {
                    state.fleet.lose_reply(at, late);
                }
            }
            Step::DropMessage(number) => state.drop_message(number),
            Step::ApplyDelayed => {
                if let Some(request) = fleet.delayed.pop() {
                    let _ = fleet.call(&request);
                }
            }
            Step::Store(is_down) => fleet.is_store_down = is_down,
            Step::CutOff(host, is) => fleet.daemons[state.runs[host]].is_cut_off = is,
            // Only one host may fail at a time: pausing a holder after a crash would be a second failure.
            Step::Pause(_) if state.is_recovering => {}
            Step::Pause(host) => fleet.daemons[state.runs[host]].is_paused = true,
            Step::Resume(host) => fleet.daemons[state.runs[host]].is_paused = false,
            Step::Replace(host) => state.replace(host),
        }
        state
    }

    fn teardown(mut state: Self, (): ()) {
        state.fleet.settle();
        for number in 0..REQUESTS {
            let bills = state.fleet.bills_of(number);
            assert!(bills <= 1, "request {number} has {bills} bills");
            let must_be_billed = state.fleet.answered.contains(&number)
                && !state.fleet.unreplicated.contains(&number);
            assert!(
                bills == 1 || !must_be_billed,
                "request {number} was answered and not billed"
            );
        }
        assert!(!state.fleet.export().pending);
    }
}

fn cases() -> u32 {
    let text = std::env::var("BUCKTHORNCROSS_FUZZ_CASES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(250)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn can_bill_once_under_faults(sequential 50..51 => Hosts);
}
