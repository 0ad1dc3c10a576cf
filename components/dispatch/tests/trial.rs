//! Tests of roll-outs, judged by the fleet's evidence.

use std::sync::Arc;

use dispatch::{
    Arm, ArmCounts, Evidence, Gate, Load, Permit, Trial, TrialLimits, Verdict, VersionHistory,
};
use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

fn order() -> RolloutOrder {
    RolloutOrder {
        service: Arc::from("model"),
        to: Arc::from("v2"),
        decision_timeout: Span::from_secs(20),
        revision: 7,
    }
}

trait Replaces {
    /// The trial of an order that replaces an earlier one.
    fn carry_over_barred(self, earlier: &Self) -> Self;
}

impl Replaces for Trial {
    fn carry_over_barred(mut self, earlier: &Self) -> Self {
        self.merge_history(&earlier.history_after());
        self
    }
}

const LIMITS: TrialLimits = TrialLimits {
    exposure: 0.15,
    allowance: 30.0,
};

fn trial(now: Time) -> Trial {
    Trial::new(now, order(), LIMITS)
}

fn at(secs: f64) -> Time {
    Time::ZERO + Span::from_secs_f64(secs)
}

/// Expected load of a request to an upstream that has its prompt cached.
fn load_of(ms: f64) -> Load {
    Load {
        expected_ms: ms,
        expected_uncached_ms: ms,
        ..Load::default()
    }
}

/// Counts a good answer that started after `ms` where `load` was expected.
fn note_answer(counts: &mut ArmCounts, ms: f64, load: &Load) {
    counts.record_answer_start(ms, load);
    counts.good += 1;
}

/// Counts `good` and `bad` answers; the good ones take `times` the expected time.
fn arm(good: u32, bad: u32, times: f64) -> ArmCounts {
    let mut counts = ArmCounts {
        sent: good + bad,
        bad,
        ..ArmCounts::default()
    };
    for n in 0..good {
        // Spread of the times of real answers: half as long to twice as long.
        let spread = [0.5, 0.8, 1.0, 1.3, 2.0][n as usize % 5];
        note_answer(&mut counts, 100.0 * times * spread, &load_of(100.0));
    }
    counts
}

fn evidence(new: ArmCounts, old: ArmCounts) -> Evidence {
    let arm = |counts| Arm {
        kinds: [counts, ArmCounts::default(), ArmCounts::default()],
    };
    Evidence {
        order: 7,
        elapsed_ms: 0,
        new: arm(new),
        old: arm(old),
    }
}

#[test]
fn a_good_version_gets_a_canary_share_and_then_everything() {
    let mut trial = trial(Time::ZERO);
    let good = evidence(arm(40, 1, 1.0), arm(400, 5, 1.0));
    let shares = [1.0, 3.0, 9.0, 11.0, 14.3, 17.0, 18.2];
    let shares = shares.map(|secs| trial.step(at(secs), &good, 1.0).gate.share);
    assert_eq!(shares, [0.0, 0.045, 0.045, 0.045, 0.045, 0.045, 1.0]);
    assert_eq!(trial.step(at(18.4), &good, 1.0).verdict, Verdict::Open);
    let step = trial.step(at(18.5), &good, 1.0);
    assert_eq!(step.verdict, Verdict::Good);
}

#[test]
fn a_version_that_looks_good_stays_within_the_exposure_bound() {
    // A version is bad only under more load than there is, so all of its answers are good. With
    // a share that rose with its good answers it got 906 of 2,491 requests where 404 were
    // allowed.
    for (rate, secs, exposure) in [
        (125_u32, 20, 0.15),
        (30, 20, 0.15),
        (600, 24, 0.0975),
        (90, 12, 0.15),
    ] {
        let limits = TrialLimits {
            exposure,
            allowance: 30.0,
        };
        let order = RolloutOrder {
            decision_timeout: Span::from_secs(secs),
            ..order()
        };
        let mut trial = Trial::new(Time::ZERO, order, limits);
        let (mut new, mut old, mut due) = (0, 0, 0.0);
        let mut completed_at = None;
        for step in 0..secs * 10 {
            let now = at(step as f64 / 10.0);
            let step_result = trial.step(now, &evidence(arm(new, 0, 1.0), arm(old, 0, 1.0)), 1.0);
            if step_result.verdict == Verdict::Good && completed_at.is_none() {
                completed_at = Some(now);
            }
            let is_done = completed_at.is_some();
            due += if is_done { 1.0 } else { step_result.gate.share } * f64::from(rate) / 10.0;
            let sent = due as u32;
            due -= f64::from(sent);
            new += sent;
            old += (rate / 10).saturating_sub(sent);
        }
        let allowed = exposure * f64::from(new + old) + 30.0;
        assert!(f64::from(new) <= allowed, "{new} of {allowed} at {rate}/s");
        let completed_at = completed_at.expect("it is good as far as anybody knows");
        assert!(
            completed_at < at(secs as f64 - 0.5),
            "before the time is up"
        );
    }
}

/// Returns how many requests a version gets that shows no fault until it is completed, and its
/// bound. Requests arrive at `rate` a second, by tenths of a second since the order, and each
/// one causes `sends` requests to the version once it has the full share.
fn requests_and_bound(secs: u32, rate: impl Fn(u32) -> f64, sends: f64) -> (f64, f64) {
    requests_and_bound_of(0, secs, rate, sends)
}

/// The same for a version with so many upstreams; those of none are not load tested.
fn requests_and_bound_of(
    upstreams: usize,
    secs: u32,
    rate: impl Fn(u32) -> f64,
    sends: f64,
) -> (f64, f64) {
    let order = RolloutOrder {
        decision_timeout: Span::from_secs(u64::from(secs)),
        ..order()
    };
    let mut trial = Trial::new(Time::ZERO, order, LIMITS);
    let (mut new, mut old) = (0.0_f64, 0.0_f64);
    let mut is_done = false;
    for tenth in 0..secs * 10 {
        let now = at(f64::from(tenth) / 10.0);
        let seen = evidence(arm(new as u32, 0, 1.0), arm(old as u32, 0, 1.0));
        trial.set_upstreams(upstreams);
        let step_result = trial.step(now, &seen, 1.0);
        is_done |= step_result.verdict == Verdict::Good;
        let share = if is_done { 1.0 } else { step_result.gate.share };
        let came = rate(tenth) / 10.0;
        // At a small share it shows no fault.
        let sends = if share < 1.0 { 1.0 } else { sends };
        new += came * share * sends;
        old += came * (1.0 - share);
    }
    assert!(is_done, "it is good as far as anybody knows");
    (new, LIMITS.exposure * (new + old) + LIMITS.allowance)
}

#[test]
fn growing_traffic_counts_at_its_current_rate() {
    // A version is bad only under more load than there is, and traffic grows towards the end of
    // its roll-out. The requests to come were estimated by the mean rate since the order: when
    // the version got the full share, 361 requests came where 252 were expected, 436 in all of
    // 389 allowed.
    let grows = |tenth| if tenth < 100 { 105.0 } else { 190.0 };
    let (got, allowed) = requests_and_bound(17, grows, 1.0);
    assert!(got <= allowed, "{got} of {allowed}");
}

#[test]
fn some_upstreams_of_a_new_version_are_fully_loaded_before_it_gets_everything() {
    // Guards against a version that is bad under load and completed before it had any.
    for (upstreams, loaded) in [(4, 0.25), (7, 1.0 / 7.0), (112, 6.0 / 112.0)] {
        let mut trial = trial(Time::ZERO);
        let mut shares = Vec::new();
        let (mut new, mut old) = (0.0_f64, 0.0_f64);
        for tenth in 0..190 {
            trial.set_upstreams(upstreams);
            let seen = evidence(arm(new as u32, 0, 1.0), arm(old as u32, 0, 1.0));
            let share = trial
                .step(at(f64::from(tenth) / 10.0), &seen, 1.0)
                .gate
                .share;
            new += 10.0 * share;
            old += 10.0 * (1.0 - share);
            shares.push(share);
        }
        assert!(shares.is_sorted(), "a share never falls: {shares:?}");
        let tested = shares.iter().filter(|share| **share == loaded).count();
        assert!(
            tested >= 20,
            "{tested} tenths of a second at {loaded}: {shares:?}"
        );
    }
}

#[test]
fn failures_under_load_are_not_hidden_by_good_answers_of_the_canary() {
    // Guards against a load test whose failures are judged among all answers before it.
    let mut trial = trial(Time::ZERO);
    trial.set_upstreams(4);
    let good = evidence(arm(149, 1, 1.0), arm(3_390, 10, 1.0));
    assert_eq!(trial.step(at(16.0), &good, 1.0).gate.share, 0.25);
    let bad = evidence(arm(167, 8, 1.0), arm(3_600, 11, 1.0));
    assert_eq!(trial.step(at(16.5), &bad, 1.0).verdict, Verdict::Failing);
}

#[test]
fn a_surge_at_the_end_does_not_exceed_the_bound() {
    // Guards against a decision by the clock while all that is still to come exceeds the bound.
    for from in [155, 158, 161] {
        let surge = |tenth| if tenth < from { 44.0 } else { 72.0 };
        let (got, allowed) = requests_and_bound_of(4, 18, surge, 1.05);
        assert!(got <= allowed, "{got} of {allowed}, from {from}");
    }
}

#[test]
fn what_a_failing_version_gets_again_is_allowed_for() {
    // The same on a small service: once the version has the full share it fails some requests,
    // and each failure is retried, mostly at the same version. It got 176 requests of 163
    // allowed.
    let even = |tenth| if tenth < 150 { 44.0 } else { 52.0 };
    let (got, allowed) = requests_and_bound(18, even, 1.2);
    assert!(got <= allowed, "{got} of {allowed}");
}

#[test]
fn a_version_is_not_completed_while_requests_run_on_the_old_one() {
    // Once a roll-out is completed the old upstreams stop at once, which would cut a stream
    // that is still outstanding there.
    let mut trial = trial(Time::ZERO);
    let idle = evidence(arm(20, 0, 1.0), arm(400, 5, 1.0));
    let mut busy = idle;
    busy.old.kinds[0].out = 3;
    assert_eq!(trial.step(at(17.2), &busy, 1.0).gate.share, 1.0);
    assert_eq!(trial.step(at(18.3), &idle, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(18.45), &busy, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(18.46), &idle, 1.0).verdict, Verdict::Good);
    // Time is up: outstanding streams continue elsewhere.
    assert_eq!(verdict_at_the_end(&busy), Verdict::Good);
}

fn verdict_at_the_end(seen: &Evidence) -> Verdict {
    trial(Time::ZERO).step(at(18.5), seen, 1.0).verdict
}

#[test]
fn a_failing_version_is_reverted_after_a_few_bad_answers() {
    let mut trial = trial(Time::ZERO);
    let bad = evidence(arm(6, 6, 1.0), arm(90, 1, 1.0));
    let step = trial.step(at(2.0), &bad, 1.0);
    assert_eq!(step.verdict, Verdict::Failing);
    assert_eq!(step.gate.share, 0.0);
}

/// Counts `good` answers and `broken` ones that broke off.
fn broken(good: u32, broken: u32) -> ArmCounts {
    ArmCounts {
        sent: good + broken,
        broken,
        ..arm(good, 0, 1.0)
    }
}

#[test]
fn a_crash_of_one_upstream_does_not_revert_its_version() {
    // One of the new version's two upstreams crashes with six streams outstanding. The old
    // version's upstreams that crashed at the same time are not counted yet. All later answers
    // are good, but the version was reverted for those six.
    let mut trial = trial(Time::ZERO);
    let crash = evidence(broken(16, 6), broken(410, 3));
    assert_eq!(trial.step(at(5.0), &crash, 1.0).verdict, Verdict::Open);
    let counted = evidence(broken(18, 8), broken(430, 44));
    assert_eq!(trial.step(at(5.7), &counted, 1.0).verdict, Verdict::Open);
    let after = evidence(broken(30, 8), broken(500, 45));
    assert_eq!(trial.step(at(7.0), &after, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_crash_of_many_upstreams_does_not_revert_a_version_with_a_large_share() {
    // A quarter of all upstreams crash at once while the new version has a quarter of the
    // traffic. Its broken answers are counted some 100 ms before the old version's.
    let mut trial = trial(Time::ZERO);
    let crash = evidence(broken(310, 37), broken(5_133, 164));
    assert_eq!(trial.step(at(12.0), &crash, 1.0).verdict, Verdict::Open);
    let counted = evidence(broken(320, 40), broken(5_200, 600));
    assert_eq!(trial.step(at(12.7), &counted, 1.0).verdict, Verdict::Open);
    let after = evidence(broken(360, 41), broken(5_300, 610));
    assert_eq!(trial.step(at(13.5), &after, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_version_whose_answers_keep_breaking_off_is_reverted() {
    let mut trial = trial(Time::ZERO);
    let first = evidence(broken(10, 6), broken(410, 3));
    assert_eq!(trial.step(at(5.0), &first, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(5.7), &first, 1.0).verdict, Verdict::Open);
    let later = evidence(broken(16, 9), broken(500, 4));
    assert_eq!(trial.step(at(6.7), &later, 1.0).verdict, Verdict::Failing);
}

#[test]
fn a_burst_of_slow_answers_does_not_revert_a_version() {
    // One of the new version's two upstreams prefills a long prompt, and five answers wait for
    // it. The version was reverted as several times slower after ten answers in all.
    let mut trial = trial(Time::ZERO);
    let old = arm(420, 0, 1.0);
    let moment = evidence(slow(5, 5), old);
    assert_eq!(trial.step(at(6.4), &moment, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(7.1), &moment, 1.0).verdict, Verdict::Open);
    let after = evidence(slow(20, 5), arm(520, 0, 1.0));
    assert_eq!(trial.step(at(9.0), &after, 1.0).verdict, Verdict::Open);
    let again = evidence(slow(25, 10), arm(560, 0, 1.0));
    assert_eq!(trial.step(at(10.0), &again, 1.0).verdict, Verdict::Open);
}

#[test]
fn upstreams_without_cached_prompts_do_not_look_slow() {
    // The new version's upstreams just started and prefill the whole of a prompt of which older
    // ones have nine tenths cached, which takes ten times as long. Every second answer of a good
    // version looked slow.
    let mut counts = ArmCounts::default();
    let load = Load {
        expected_ms: 50.0,
        expected_uncached_ms: 500.0,
        ..Load::default()
    };
    note_answer(&mut counts, 500.0, &load);
    assert_eq!((counts.good, counts.slow), (1, 0));
    note_answer(&mut counts, 4_000.0, &load);
    assert_eq!((counts.good, counts.slow), (2, 1), "eight times as long");
}

/// Counts `in_time` answers in time and `slow` ones that took eight times as long.
fn slow(in_time: u32, slow: u32) -> ArmCounts {
    let mut counts = arm(in_time, 0, 1.0);
    (0..slow).for_each(|_| note_answer(&mut counts, 800.0, &load_of(100.0)));
    counts
}

#[test]
fn failures_of_both_versions_do_not_revert_the_new_one() {
    // Half of all answers are lost on the network for some seconds. The new version would be
    // reverted for failures that the old one has as well.
    let mut trial = trial(Time::ZERO);
    let both = evidence(arm(30, 20, 1.0), arm(300, 200, 1.0));
    assert_eq!(trial.step(at(2.0), &both, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_version_that_is_several_times_slower_is_reverted() {
    let mut trial = trial(Time::ZERO);
    let first = evidence(arm(10, 0, 4.0), arm(300, 0, 1.0));
    assert_eq!(trial.step(at(3.0), &first, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(3.7), &first, 1.0).verdict, Verdict::Open);
    let later = evidence(arm(20, 0, 4.0), arm(330, 0, 1.0));
    assert_eq!(trial.step(at(4.2), &later, 1.0).verdict, Verdict::Slow);
}

#[test]
fn a_version_that_is_slow_on_a_part_of_its_requests_is_reverted() {
    // Half of the requests take eight times as long on a small service. The mean varies too
    // much to show this before the new version has the full share.
    let mut trial = trial(Time::ZERO);
    let first = evidence(slow(6, 6), arm(60, 2, 1.0));
    assert_eq!(trial.step(at(5.0), &first, 1.0).verdict, Verdict::Open);
    assert_eq!(trial.step(at(5.7), &first, 1.0).verdict, Verdict::Open);
    let later = evidence(slow(10, 10), arm(68, 2, 1.0));
    assert_eq!(trial.step(at(6.5), &later, 1.0).verdict, Verdict::Slow);
}

#[test]
fn a_version_that_is_bad_under_load_is_reverted_before_completion() {
    // A version fails once it has the full share. If it were completed within a second, the old
    // version would be gone and could not be restored.
    let mut trial = trial(Time::ZERO);
    let good = evidence(arm(40, 2, 1.0), arm(400, 5, 1.0));
    assert_eq!(trial.step(at(18.2), &good, 1.0).gate.share, 1.0);
    assert_eq!(trial.step(at(18.4), &good, 1.0).verdict, Verdict::Open);
    let bad = evidence(arm(65, 25, 1.0), arm(400, 5, 1.0));
    assert_eq!(trial.step(at(18.45), &bad, 1.0).verdict, Verdict::Failing);
}

/// A completion recorded as soon as the version gets everything, before its first answers.
#[test]
fn a_version_that_fails_only_with_all_traffic_is_not_completed() {
    let good = evidence(arm(160, 0, 1.0), arm(1_840, 10, 1.0));
    let started = || {
        let mut trial = trial(Time::ZERO);
        assert_eq!(trial.step(at(18.5), &good, 1.0).gate.share, 0.045);
        let step = trial.step(at(18.6), &good, 1.0);
        assert_eq!((step.gate.share, step.final_state), (1.0, None));
        trial
    };
    let bad = evidence(arm(175, 15, 1.0), arm(1_840, 10, 1.0));
    let step = started().step(at(18.9), &bad, 1.0);
    assert_eq!(step.final_state, Some(RolloutState::Reverted));
    let more = evidence(arm(200, 0, 1.0), arm(1_840, 10, 1.0));
    let step = started().step(at(19.1), &more, 1.0);
    assert_eq!(step.final_state, Some(RolloutState::Completed));
}

#[test]
fn good_answers_at_an_earlier_share_do_not_hide_a_version_that_turns_bad() {
    // A version was good for 450 answers. Once it has the full share, one answer in seven fails.
    // Over all answers that is 1 in 50, too few to detect.
    let mut trial = trial(Time::ZERO);
    let good = evidence(arm(450, 0, 1.0), arm(9_000, 9, 1.0));
    assert_eq!(trial.step(at(18.2), &good, 1.0).gate.share, 1.0);
    let bad = evidence(arm(498, 9, 1.0), arm(9_010, 9, 1.0));
    assert_eq!(trial.step(at(18.8), &bad, 1.0).verdict, Verdict::Failing);
}

#[test]
fn slow_answers_for_want_of_cached_prompts_are_no_suspicion() {
    // Most of the allowed exposure is used up, and the share of slow answers is nine in a
    // hundred above that of the old version, whose upstreams have the prompts cached.
    let mut trial = trial(Time::ZERO);
    let cold = evidence(slow(112, 19), arm(810, 0, 1.0));
    assert_eq!(trial.step(at(15.0), &cold, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_share_of_the_requests_goes_to_the_same_share_of_the_new_upstreams() {
    // A version fails only under load. Spread over all of its upstreams, the first requests
    // would look fine until it has the full share.
    let few = |share| Permit::Subset(Arc::from("v2"), Share::clamped(share));
    assert_eq!(gate(0.25, true).permit(0, None), few(0.25));
    assert_eq!(gate(0.5, false).permit(0, None), few(0.5));
    assert_eq!(
        gate(1.0, false).permit(0, None),
        Permit::Only(Arc::from("v2"))
    );
}

#[test]
fn a_version_that_turns_bad_after_good_first_answers_is_reverted() {
    let mut trial = trial(Time::ZERO);
    let good = evidence(arm(60, 0, 1.0), arm(400, 4, 1.0));
    assert_eq!(trial.step(at(11.0), &good, 1.0).gate.share, 0.045);
    let late = evidence(arm(70, 20, 1.0), arm(450, 5, 1.0));
    let step = trial.step(at(12.0), &late, 1.0);
    assert_eq!((step.verdict, step.gate.share), (Verdict::Failing, 0.0));
}

#[test]
fn a_daemon_that_restarts_in_a_roll_out_adopts_its_peers_elapsed_time() {
    // A daemon is killed 16 s into a roll-out and restarts at once. Its own clock starts at zero.
    // If it treated the order as new, it would send sessions back to the old version until that is
    // stopped, which cuts their streams.
    let mut trial = trial(at(0.05));
    trial.adopt_elapsed(at(0.1), Span::from_millis(16_300));
    let good = evidence(arm(40, 1, 1.0), arm(400, 5, 1.0));
    assert_eq!(trial.step(at(2.6), &good, 1.0).gate.share, 1.0);
}

#[test]
fn a_recorded_decision_is_never_undone() {
    let mut trial = trial(Time::ZERO);
    trial.set_state(RolloutState::Reverted);
    trial.set_state(RolloutState::Running);
    assert_eq!(trial.state(), RolloutState::Reverted);
    let good = evidence(arm(60, 0, 1.0), arm(400, 4, 1.0));
    assert_eq!(trial.step(at(15.0), &good, 1.0).gate.share, 0.0);
}

#[test]
fn a_completed_version_is_never_reverted() {
    // Guards against a service without any version: the old upstreams stop at a completion.
    let mut trial = trial(Time::ZERO);
    trial.set_state(RolloutState::Completed);
    trial.set_state(RolloutState::Reverted);
    trial.mark_bad(Verdict::Failing);
    assert_eq!(trial.state(), RolloutState::Completed);
    let bad = evidence(arm(30, 30, 1.0), arm(400, 4, 1.0));
    assert_eq!(trial.step(at(19.0), &bad, 1.0).gate.share, 1.0);
}

#[test]
fn a_completed_version_serves_until_the_next_one_is_ready_though_it_was_found_bad() {
    // Guards against a next order that bars the only version left.
    let mut first = trial(Time::ZERO);
    first.mark_bad(Verdict::Failing);
    first.set_state(RolloutState::Completed);
    let next = RolloutOrder {
        to: Arc::from("v3"),
        revision: 9,
        ..order()
    };
    let mut second = Trial::new(at(30.0), next, LIMITS).carry_over_barred(&first);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    let gate = second.step(at(31.0), &none, 1.0).gate;
    assert!(gate.permit(0, None).allows(&Arc::from("v2")));
}

fn gate(share: f64, keeps_sessions: bool) -> Gate {
    Gate {
        service: Arc::from("model"),
        to: Arc::from("v2"),
        barred: Arc::from([Arc::from("v2")]),
        order: 7,
        share,
        keeps_sessions,
        first_share: 0.25,
        staying: Arc::default(),
    }
}

#[test]
fn sessions_stay_on_their_version() {
    let (old, new) = (Arc::from("v1"), Arc::from("v2"));
    let low = 0;
    let first_half = gate(0.25, true);
    assert!(first_half.permit(low, None).allows(&new));
    assert!(!first_half.permit(low, Some(&old)).allows(&new));
    assert!(first_half.permit(u64::MAX, Some(&new)).allows(&new));
    let second_half = gate(0.25, false);
    assert!(second_half.permit(low, Some(&old)).allows(&new));
    assert_eq!(
        gate(0.0, true).permit(low, Some(&new)),
        Permit::Except(Arc::from([new.clone()]))
    );
}

#[test]
fn an_active_session_stays_also_at_daemons_that_never_saw_it() {
    // The requests of a session come through several daemons, and a roll-out begins between two
    // of them. The second daemon never saw the session and would take it for a new one.
    let (old, new) = (Arc::from("v1"), Arc::from("v2"));
    let (session, other) = (5, 6);
    assert!(
        gate(0.0, true).should_note(session),
        "of those that would move"
    );
    assert!(!gate(0.0, true).should_note(u64::MAX));
    assert!(!gate(0.25, true).should_note(session), "opened");
    let mut trial = trial(Time::ZERO);
    trial.add_staying([Gate::mark(session)]);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    let gate = trial.step(at(3.0), &none, 1.0).gate;
    assert!(gate.permit(session, None).allows(&old));
    assert!(!gate.permit(session, None).allows(&new));
    assert!(gate.permit(other, None).allows(&new));
}

#[test]
fn a_kind_of_request_that_often_fails_does_not_hide_a_failing_version() {
    // A third of a service's requests fail in one of seven cases whatever the version. Of the rest
    // the new version fails one in ten and the old one hardly any. Over all kinds together that is
    // 12% against 5%, which 90 answers do not distinguish from chance.
    let mut trial = trial(Time::ZERO);
    let mut seen = evidence(arm(54, 6, 1.0), arm(399, 1, 1.0));
    seen.new.kinds[1] = arm(26, 4, 1.0);
    seen.old.kinds[1] = arm(172, 28, 1.0);
    assert_eq!(trial.step(at(15.0), &seen, 1.0).verdict, Verdict::Failing);
    let mut fine = evidence(arm(60, 0, 1.0), arm(399, 1, 1.0));
    fine.new.kinds[1] = arm(23, 7, 1.0);
    fine.old.kinds[1] = arm(172, 28, 1.0);
    assert_eq!(verdict_at_15_s(&fine), Verdict::Open);
}

fn verdict_at_15_s(seen: &Evidence) -> Verdict {
    trial(Time::ZERO).step(at(15.0), seen, 1.0).verdict
}

#[test]
fn a_suspicion_is_enough_once_the_allowed_exposure_is_nearly_used_up() {
    // On a small service a version fails six in a hundred under load, where the old one fails one.
    // That is not detected until far more requests were sent than the operators allow.
    let mut trial = trial(Time::ZERO);
    let early = evidence(arm(77, 5, 1.0), arm(521, 2, 1.0));
    assert_eq!(trial.step(at(15.0), &early, 1.0).verdict, Verdict::Open);
    let late = evidence(arm(77, 5, 1.0), arm(221, 2, 1.0));
    assert_eq!(trial.step(at(15.0), &late, 1.0).verdict, Verdict::Failing);
}

#[test]
fn a_handful_of_failures_by_chance_is_no_proof() {
    // A plain service on which one answer in ten fails whatever the version. Four of the new
    // version's first eight fail, and one request that is not retried: five where one is
    // expected.
    let mut trial = trial(Time::ZERO);
    let mut chance = evidence(arm(10, 1, 1.0), arm(144, 0, 1.0));
    chance.new.kinds[1] = arm(4, 4, 1.0);
    chance.old.kinds[1] = arm(84, 11, 1.0);
    assert_eq!(trial.step(at(6.0), &chance, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_suspected_version_is_not_completed_when_time_is_up() {
    // A new version fails half of the requests of a rare kind. At its small share that is two to
    // four failures in 46 answers, against none in 900 of the old one: too few to detect. When its
    // time was nearly up it got the full share and was completed a quarter of a second later, which
    // nothing undoes: callers met its failures until the operators ordered another version.
    //
    // In three of six roll-outs it was completed with 45 good and 3 bad answers; in the other three
    // the fifth failure came in time.
    let short = RolloutOrder {
        decision_timeout: Span::from_secs(17),
        ..order()
    };
    for bad in [3, 4] {
        let seen = evidence(arm(45, bad, 1.0), arm(900, 0, 1.0));
        let mut trial = Trial::new(Time::ZERO, short.clone(), LIMITS);
        let _ = trial.step(at(9.0), &seen, 1.0);
        assert_eq!(trial.step(at(15.2), &seen, 1.0).gate.share, 0.045);
        let step = trial.step(at(15.6), &seen, 1.0);
        assert_eq!((step.verdict, step.gate.share), (Verdict::Failing, 0.0));
    }
    // Two failures are no suspicion, and more of them follow at once with the full share.
    let mut trial = Trial::new(Time::ZERO, short, LIMITS);
    let two = evidence(arm(44, 2, 1.0), arm(900, 0, 1.0));
    assert_eq!(trial.step(at(15.2), &two, 1.0).gate.share, 1.0);
    let three = evidence(arm(45, 3, 1.0), arm(917, 0, 1.0));
    assert_eq!(trial.step(at(15.6), &three, 1.0).verdict, Verdict::Failing);
}

/// A version that is slow on a part of its requests, with too few answers for a detection.
#[test]
fn a_version_suspected_of_slowness_is_not_completed_when_time_is_up() {
    let seen = evidence(slow(15, 6), slow(264, 17));
    assert_eq!(
        trial(Time::ZERO).step(at(18.4), &seen, 1.0).verdict,
        Verdict::Open
    );
    assert_eq!(verdict_at_the_end(&seen), Verdict::Slow);
    let few = evidence(slow(18, 3), slow(264, 17));
    assert_eq!(verdict_at_the_end(&few), Verdict::Good);
}

#[test]
fn an_excess_within_chance_is_no_suspicion() {
    // Most of the exposure is used up, and the new version has three more bad answers in 300
    // than the old one would have.
    let mut trial = trial(Time::ZERO);
    let chance = evidence(arm(290, 10, 1.0), arm(680, 16, 1.0));
    assert_eq!(trial.step(at(15.0), &chance, 1.0).verdict, Verdict::Open);
}

#[test]
fn a_slow_version_is_detected_by_answers_that_have_begun() {
    // A version takes eight times as long for half of its requests. When it is judged its slow
    // streams are still outstanding, and three of the sixteen that have ended were slow.
    let mut trial = trial(Time::ZERO);
    let mut new = slow(13, 3);
    for _ in 0..22 {
        new.record_answer_start(800.0, &load_of(100.0));
        new.sent += 1;
        new.out += 1;
    }
    let old = arm(1_200, 0, 1.0);
    let first = evidence(new, old);
    assert_eq!(trial.step(at(12.0), &first, 1.0).verdict, Verdict::Slow);
}

#[test]
fn a_reverted_version_stays_barred_when_another_is_ordered() {
    // A bad version was reverted; its upstreams leave seconds later. The next order came within
    // these seconds and excluded only its own version, so sessions went to the bad one.
    let mut first = trial(Time::ZERO);
    first.set_state(RolloutState::Reverted);
    let next = |to: &str| RolloutOrder {
        to: Arc::from(to),
        revision: 9,
        ..order()
    };
    let allows = |trial: &mut Trial, version: &str| {
        let fine = evidence(arm(1, 0, 1.0), arm(1, 0, 1.0));
        let gate = trial.step(at(6.0), &fine, 1.0).gate;
        gate.permit(u64::MAX, None).allows(&Arc::from(version))
    };
    let mut second = Trial::new(at(5.0), next("v3"), LIMITS).carry_over_barred(&first);
    let allowed = ["v1", "v2", "v3"].map(|version| allows(&mut second, version));
    assert_eq!(allowed, [true, false, false]);
    // Ordering the version again starts a new trial of it.
    let again = Trial::new(at(5.0), next("v2"), LIMITS).carry_over_barred(&second);
    let mut third = Trial::new(at(5.0), next("v4"), LIMITS).carry_over_barred(&again);
    let allowed = ["v1", "v2", "v3", "v4"].map(|version| allows(&mut third, version));
    assert_eq!(allowed, [true, false, false, false]);
    // A completed version is not excluded.
    let mut good = trial(Time::ZERO);
    good.set_state(RolloutState::Completed);
    let mut after = Trial::new(at(5.0), next("v3"), LIMITS).carry_over_barred(&good);
    assert!(allows(&mut after, "v2"));
}

fn next_order(to: &str, revision: u64) -> RolloutOrder {
    RolloutOrder {
        to: Arc::from(to),
        revision,
        ..order()
    }
}

/// The history of a service whose upstreams were all of one version.
fn served_by(version: &str) -> VersionHistory {
    VersionHistory {
        stable: [Arc::from(version)].into(),
        ..VersionHistory::default()
    }
}

/// Those of the versions in use that get a session's requests, whatever version it is on.
fn served<const N: usize>(gate: &Gate, in_use: [&'static str; N]) -> Vec<&'static str> {
    let versions = in_use.map(Arc::<str>::from);
    let sessions = [0, u64::MAX / 100, u64::MAX / 2, u64::MAX];
    let is_served = |version: &Arc<str>| {
        let pins = versions.iter().map(Some).chain([None]);
        let mut permits = pins.flat_map(|pin| sessions.map(|session| gate.permit(session, pin)));
        permits.any(|permit| permit.allows(version))
    };
    let served = versions.iter().zip(in_use);
    let served = served.filter(|(version, _)| is_served(version));
    served.map(|(_, name)| name).collect()
}

/// Versions of which upstreams run.
const IN_USE: [&str; 3] = ["v1", "v2", "v3"];

/// A bad version got as many requests as the old one once another version was ordered.
#[test]
fn a_version_whose_order_is_replaced_undecided_gets_no_requests() {
    for replaced_at in [0.1, 2.0, 4.0, 15.0, 18.5] {
        let mut first = trial(Time::ZERO);
        first.merge_history(&served_by("v1"));
        let open = evidence(arm(60, 3, 1.0), arm(400, 5, 1.0));
        first.step(at(replaced_at), &open, 1.0);
        let second = Trial::new(at(replaced_at), next_order("v3", 9), LIMITS);
        let mut second = second.carry_over_barred(&first);
        for tenth in 0..190 {
            let now = at(replaced_at + f64::from(tenth) / 10.0);
            let gate = second.step(now, &open, 1.0).gate;
            assert!(!served(&gate, IN_USE).contains(&"v2"), "{now:?}");
            assert!(!gate.admits(&Arc::from("v2")), "{now:?}");
        }
    }
}

/// Of three orders in a row, only the last version and the one before them all are sent requests.
#[test]
fn versions_of_several_replaced_orders_get_no_requests() {
    let mut first = trial(Time::ZERO);
    first.merge_history(&served_by("v1"));
    let second = Trial::new(at(2.0), next_order("v3", 9), LIMITS).carry_over_barred(&first);
    let third = Trial::new(at(4.0), next_order("v4", 11), LIMITS);
    let mut third = third.carry_over_barred(&second);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    let in_use = ["v1", "v2", "v3", "v4"];
    assert_eq!(
        served(&third.step(at(4.0), &none, 1.0).gate, in_use),
        ["v1"]
    );
    assert_eq!(
        served(&third.step(at(8.0), &none, 1.0).gate, in_use),
        ["v1", "v4"]
    );
}

/// Nearly all requests went to the bad version when the old one was ordered back.
#[test]
fn an_order_back_to_the_old_version_gives_it_everything_at_once() {
    let mut first = trial(Time::ZERO);
    first.merge_history(&served_by("v1"));
    let mut back = Trial::new(at(2.0), next_order("v1", 9), LIMITS).carry_over_barred(&first);
    // Some of its answers fail, as upstreams of any version do at times.
    let failing = evidence(arm(60, 30, 1.0), arm(0, 0, 1.0));
    for tenth in 0..200 {
        let step = back.step(at(2.0 + f64::from(tenth) / 10.0), &failing, 1.0);
        assert_eq!(served(&step.gate, ["v1", "v2"]), ["v1"], "{tenth}");
        assert!(!step.verdict.is_bad(), "{tenth}");
        let is_decided = step.final_state == Some(RolloutState::Completed);
        assert_eq!(is_decided, tenth >= 185, "{tenth}");
    }
    back.mark_bad(Verdict::Failing);
    assert_eq!(
        served(&back.step(at(23.0), &failing, 1.0).gate, IN_USE),
        ["v1"]
    );
    // The version that was given up stays barred, and the old one is none of the replaced ones.
    let mut next = Trial::new(at(23.0), next_order("v3", 11), LIMITS).carry_over_barred(&back);
    assert_eq!(
        served(&next.step(at(23.0), &failing, 1.0).gate, IN_USE),
        ["v1"]
    );
}

/// No request would be served if the version that is ordered back has no upstream any more.
#[test]
fn an_order_back_to_a_version_without_upstreams_waits_for_them() {
    let mut first = trial(Time::ZERO);
    first.merge_history(&VersionHistory {
        stable: ["v1", "v3"].map(Arc::from).into(),
        ..VersionHistory::default()
    });
    let mut back = Trial::new(at(2.0), next_order("v1", 9), LIMITS).carry_over_barred(&first);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    assert_eq!(served(&back.step(at(2.0), &none, 0.0).gate, IN_USE), ["v3"]);
    assert_eq!(served(&back.step(at(3.0), &none, 1.0).gate, IN_USE), ["v1"]);
}

/// A version that is ordered anew gets its canary, whether it was reverted or replaced before.
#[test]
fn a_replaced_version_that_is_ordered_anew_gets_its_canary() {
    let mut first = trial(Time::ZERO);
    first.merge_history(&served_by("v1"));
    let second = Trial::new(at(2.0), next_order("v3", 9), LIMITS).carry_over_barred(&first);
    let again = Trial::new(at(4.0), next_order("v2", 11), LIMITS);
    let mut again = again.carry_over_barred(&second);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    assert_eq!(
        served(&again.step(at(4.0), &none, 1.0).gate, IN_USE),
        ["v1"]
    );
    assert_eq!(
        served(&again.step(at(8.0), &none, 1.0).gate, IN_USE),
        ["v1", "v2"]
    );
}

/// A version that was completed serves while the next one is tried, and may be ordered back.
#[test]
fn a_completed_version_is_the_stable_one() {
    let mut first = trial(Time::ZERO);
    first.merge_history(&served_by("v1"));
    first.set_state(RolloutState::Completed);
    let mut second = Trial::new(at(30.0), next_order("v3", 9), LIMITS).carry_over_barred(&first);
    let none = evidence(arm(0, 0, 1.0), arm(0, 0, 1.0));
    assert!(served(&second.step(at(30.0), &none, 1.0).gate, IN_USE).contains(&"v2"));
    let mut back = Trial::new(at(32.0), next_order("v2", 11), LIMITS).carry_over_barred(&second);
    assert_eq!(
        served(&back.step(at(32.0), &none, 1.0).gate, IN_USE),
        ["v2"]
    );
}
