//! Life cycle, retry rules and the truth of "not run".

use requests::attempt::{AttemptEnd, Doubt, Usage};
use requests::budget::{MAX_SAVED_RETRIES, RetryBudget};
use requests::life::{Arrived, Attempted, Facts, Next, Request, Waiting};
use requests::refusal::Code;
use requests::step::MAX_ATTEMPTS;
use types::prelude::*;

const NOW: Time = Time(1_000);
const WHOLE: AttemptEnd = AttemptEnd::Whole {
    usage: Usage {
        input: Tokens(3),
        output: Tokens(5),
    },
    adequate: true,
};

fn facts(idempotent: bool, resumable: bool) -> Facts {
    Facts {
        customer: "kochi".parse().unwrap(),
        id: "r1".parse().unwrap(),
        entry: "brief-writer".parse().unwrap(),
        idempotent,
        resumable,
        deadline: NOW + Span::from_secs(10),
    }
}

fn upstream(n: usize) -> UpstreamId {
    format!("u{n}").parse().unwrap()
}

fn first(facts: Facts) -> Request<Attempted> {
    let ready = Arrived::new().admit(facts).ready().unwrap();
    ready.attempt(upstream(1))
}

fn end(req: Request<Attempted>, end: &AttemptEnd) -> Next {
    req.end(&upstream(1), end, NOW, &mut RetryBudget::new(NOW))
}

fn retried(next: Next) -> (Request<Waiting>, Option<Tokens>) {
    match next {
        Next::Retry(req, retry) => (req, retry.resume_from),
        other => panic!("no retry: {other:?}"),
    }
}

fn cut(received: u64, shown: bool) -> AttemptEnd {
    AttemptEnd::Truncated {
        received: Tokens(received),
        shown,
    }
}

#[test]
fn can_answer_and_bill_once() {
    let Next::Answered(req) = end(first(facts(true, true)), &WHOLE) else {
        panic!("not answered");
    };
    let (_, bill) = req.bill();
    assert_eq!(bill.usage.output, Tokens(5));
}

// A caller is told "not run" and books again, and two teachers come. The upstream had read
// the request before the connection was reset. Cause: a reset taken for a refused connection.
#[test]
fn errors_say_not_run_only_with_proof() {
    let doubtful = [
        AttemptEnd::Unknown(Doubt::Reset),
        AttemptEnd::Unknown(Doubt::TimedOut),
        AttemptEnd::Crossed,
        AttemptEnd::UpstreamError(503),
        cut(2, false),
    ];
    for doubt in doubtful {
        let (req, _) = retried(end(first(facts(true, false)), &doubt));
        assert_ne!(req.refuse(Code::NoUpstream).refusal().run(), RunState::No);
    }
    for proof in [
        AttemptEnd::NotSent,
        AttemptEnd::RefusedNotRun { retry_after: None },
    ] {
        let (req, _) = retried(end(first(facts(true, false)), &proof));
        assert_eq!(req.refuse(Code::NoUpstream).refusal().run(), RunState::No);
    }
}

// As above, over two attempts: the first was reset, the second found nobody. Cause: only the
// last attempt's end counted.
#[test]
fn errors_of_earlier_attempts_are_remembered() {
    let (req, _) = retried(end(
        first(facts(true, false)),
        &AttemptEnd::Unknown(Doubt::Reset),
    ));
    let (req, _) = retried(end(req.attempt(upstream(1)), &AttemptEnd::NotSent));
    let refusal = req.refuse(Code::NoUpstream).refusal();
    assert_eq!(refusal.run(), RunState::Unknown);
}

// A caller reads half of one answer and half of another. The first stream broke after a part
// was shown, and the engine cannot resume. Cause: the second answer was begun anew.
#[test]
fn errors_of_shown_streams_are_resumed_or_refused() {
    let (_, resume) = retried(end(first(facts(true, true)), &cut(7, true)));
    assert_eq!(resume, Some(Tokens(7)));
    let (_, anew) = retried(end(first(facts(true, false)), &cut(7, false)));
    assert_eq!(anew, None);
    let Next::Refused(req) = end(first(facts(true, false)), &cut(7, true)) else {
        panic!("not refused");
    };
    assert_eq!(req.refusal().code(), Code::StreamCut);
    assert_eq!(req.refusal().run(), RunState::Yes);
}

// As above, but the resumed attempt finds nobody at first: the part shown must not be
// forgotten by the third attempt.
#[test]
fn can_resume_after_a_failed_resumption() {
    let (req, _) = retried(end(first(facts(true, true)), &cut(7, true)));
    let (_, resume) = retried(end(req.attempt(upstream(1)), &AttemptEnd::NotSent));
    assert_eq!(resume, Some(Tokens(7)));
}

#[test]
fn errors_without_claim_keep_non_idempotent_work_here() {
    let req = Arrived::new().admit(facts(false, false));
    let req = req.ready().unwrap_err();
    assert_eq!(
        req.refuse(Code::ClaimUnavailable).refusal().run(),
        RunState::No
    );
}

#[test]
fn can_keep_the_weaker_answer_when_escalation_fails() {
    let weak = AttemptEnd::Whole {
        usage: Usage::default(),
        adequate: false,
    };
    let Next::Escalate(req) = end(first(facts(true, true)), &weak) else {
        panic!("not escalated");
    };
    let next = end(req.attempt(upstream(1)), &AttemptEnd::UpstreamError(400));
    assert!(matches!(next, Next::Answered(_)));
}

// A pool fails and each of its requests is sent again and again: the pool gets more traffic
// than when it was healthy and never recovers. Cause: retries without a budget.
#[test]
fn errors_of_a_pool_do_not_multiply_its_traffic() {
    let mut budget = RetryBudget::new(NOW);
    let reset = AttemptEnd::Unknown(Doubt::Reset);
    let retries = (0..1_000)
        .map(|_| first(facts(true, false)).end(&upstream(1), &reset, NOW, &mut budget))
        .filter(|next| matches!(next, Next::Retry(..)))
        .count();
    assert_eq!(retries, MAX_SAVED_RETRIES as usize);
}

#[test]
fn errors_end_after_the_most_attempts_or_the_deadline() {
    let mut req = first(facts(true, false));
    for _ in 1..MAX_ATTEMPTS {
        req = retried(end(req, &AttemptEnd::NotSent))
            .0
            .attempt(upstream(1));
    }
    assert!(matches!(end(req, &AttemptEnd::NotSent), Next::Refused(_)));
    let late = NOW + Span::from_secs(10);
    let mut budget = RetryBudget::new(NOW);
    let next = first(facts(true, false)).end(&upstream(1), &AttemptEnd::NotSent, late, &mut budget);
    assert!(matches!(next, Next::Refused(_)));
}

#[test]
fn can_hedge_idempotent_work_once() {
    let mut budget = RetryBudget::new(NOW);
    let req = first(facts(true, false));
    let req = req.hedge(upstream(2), NOW, &mut budget).unwrap();
    let req = req.hedge(upstream(3), NOW, &mut budget).unwrap_err();
    let Next::Open(req) = end(req, &AttemptEnd::NotSent) else {
        panic!("the second attempt is still open");
    };
    assert_eq!(req.progress().run(), RunState::Unknown);
    let next = req.end(&upstream(2), &WHOLE, NOW, &mut budget);
    assert!(matches!(next, Next::Answered(_)));
}
