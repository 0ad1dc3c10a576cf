//! Life cycle of requests, retry rules and correctness of "not run".

use requests::attempt::{AttemptEnd, UnknownCause, Usage};
use requests::budget::{MAX_SAVED_RETRIES, RetryBudget};
use requests::life::{Arrived, Attempted, Next, Request, RequestSpec, Waiting};
use requests::refusal::Code;
use requests::step::MAX_ATTEMPTS;
use types::prelude::*;

const NOW: Time = Time(1_000);
const WHOLE: AttemptEnd = AttemptEnd::Complete {
    usage: Usage {
        input: Tokens(3),
        output: Tokens(5),
    },
    adequate: true,
};

fn spec(idempotent: bool, resumable: bool) -> RequestSpec {
    RequestSpec {
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

fn first_attempt(spec: RequestSpec) -> Request<Attempted> {
    let ready = Arrived::new().admit(spec).ready().unwrap();
    ready.attempt(upstream(1))
}

fn end(req: Request<Attempted>, end: &AttemptEnd) -> Next {
    req.end(&upstream(1), end, NOW, &mut RetryBudget::new(NOW))
}

fn expect_retry(next: Next) -> (Request<Waiting>, Option<Tokens>) {
    match next {
        Next::Retry(req, retry) => (req, retry.resume_from),
        other => panic!("no retry: {other:?}"),
    }
}

fn truncated(received: u64, shown: bool) -> AttemptEnd {
    AttemptEnd::Truncated {
        received: Tokens(received),
        shown,
    }
}

#[test]
fn can_answer_and_bill_once() {
    let Next::Answered(req) = end(first_attempt(spec(true, true)), &WHOLE) else {
        panic!("not answered");
    };
    let (_, bill) = req.bill();
    assert_eq!(bill.usage.output, Tokens(5));
}

// The upstream may have read the request before the connection was reset. If a reset counted as a
// refused connection, the caller would get a false "not run" and retry work that was done.
#[test]
fn errors_say_not_run_only_with_proof() {
    let may_have_run = [
        AttemptEnd::Unknown(UnknownCause::Reset),
        AttemptEnd::Unknown(UnknownCause::TimedOut),
        AttemptEnd::AnswerOfOtherAttempt,
        AttemptEnd::UpstreamError(503),
        truncated(2, false),
    ];
    for attempt_end in may_have_run {
        let (req, _) = expect_retry(end(first_attempt(spec(true, false)), &attempt_end));
        assert_ne!(req.refuse(Code::NoUpstream).refusal().run(), RunState::No);
    }
    for attempt_end in [
        AttemptEnd::NotSent,
        AttemptEnd::RefusedNotRun { retry_after: None },
    ] {
        let (req, _) = expect_retry(end(first_attempt(spec(true, false)), &attempt_end));
        assert_eq!(req.refuse(Code::NoUpstream).refusal().run(), RunState::No);
    }
}

// The first attempt was reset, the second found no upstream. If only the last attempt counted, the
// refusal would be a false "not run".
#[test]
fn errors_of_earlier_attempts_are_remembered() {
    let (req, _) = expect_retry(end(
        first_attempt(spec(true, false)),
        &AttemptEnd::Unknown(UnknownCause::Reset),
    ));
    let (req, _) = expect_retry(end(req.attempt(upstream(1)), &AttemptEnd::NotSent));
    let refusal = req.refuse(Code::NoUpstream).refusal();
    assert_eq!(refusal.run(), RunState::Unknown);
}

// The first stream is truncated after a part of it was sent to the caller, the engine cannot resume
// it, and the second answer starts from the beginning. The caller must not get a mix of both.
#[test]
fn errors_of_shown_streams_are_resumed_or_refused() {
    let (_, resume) = expect_retry(end(first_attempt(spec(true, true)), &truncated(7, true)));
    assert_eq!(resume, Some(Tokens(7)));
    let (_, restart) = expect_retry(end(first_attempt(spec(true, false)), &truncated(7, false)));
    assert_eq!(restart, None);
    let Next::Refused(req) = end(first_attempt(spec(true, false)), &truncated(7, true)) else {
        panic!("not refused");
    };
    assert_eq!(req.refusal().code(), Code::AnswerTruncated);
    assert_eq!(req.refusal().run(), RunState::Yes);
}

// The second, resumed attempt finds no upstream. The tokens already sent to the caller must still
// count, or the third attempt would restart the answer.
#[test]
fn can_resume_after_a_failed_resumption() {
    let (req, _) = expect_retry(end(first_attempt(spec(true, true)), &truncated(7, true)));
    let (_, resume) = expect_retry(end(req.attempt(upstream(1)), &AttemptEnd::NotSent));
    assert_eq!(resume, Some(Tokens(7)));
}

#[test]
fn errors_without_a_claim_do_not_send_non_idempotent_work() {
    let req = Arrived::new().admit(spec(false, false));
    let req = req.ready().unwrap_err();
    assert_eq!(
        req.refuse(Code::ClaimUnavailable).refusal().run(),
        RunState::No
    );
}

#[test]
fn can_keep_the_weaker_answer_when_escalation_fails() {
    let weak = AttemptEnd::Complete {
        usage: Usage::default(),
        adequate: false,
    };
    let Next::Escalate(req) = end(first_attempt(spec(true, true)), &weak) else {
        panic!("not escalated");
    };
    let next = end(req.attempt(upstream(1)), &AttemptEnd::UpstreamError(400));
    assert!(matches!(next, Next::Answered(_)));
}

// Without a retry budget, a failing pool gets more traffic than a healthy one and never recovers.
#[test]
fn errors_of_a_pool_do_not_multiply_its_traffic() {
    let mut budget = RetryBudget::new(NOW);
    let reset = AttemptEnd::Unknown(UnknownCause::Reset);
    let retries = (0..1_000)
        .map(|_| first_attempt(spec(true, false)).end(&upstream(1), &reset, NOW, &mut budget))
        .filter(|next| matches!(next, Next::Retry(..)))
        .count();
    assert_eq!(retries, MAX_SAVED_RETRIES as usize);
}

#[test]
fn errors_stop_retries_at_max_attempts_or_the_deadline() {
    let mut req = first_attempt(spec(true, false));
    for _ in 1..MAX_ATTEMPTS {
        req = expect_retry(end(req, &AttemptEnd::NotSent))
            .0
            .attempt(upstream(1));
    }
    assert!(matches!(end(req, &AttemptEnd::NotSent), Next::Refused(_)));
    let late = NOW + Span::from_secs(10);
    let mut budget = RetryBudget::new(NOW);
    let next =
        first_attempt(spec(true, false)).end(&upstream(1), &AttemptEnd::NotSent, late, &mut budget);
    assert!(matches!(next, Next::Refused(_)));
}

#[test]
fn can_hedge_idempotent_work_once() {
    let mut budget = RetryBudget::new(NOW);
    let req = first_attempt(spec(true, false));
    let req = req.hedge(upstream(2), NOW, &mut budget).unwrap();
    let req = req.hedge(upstream(3), NOW, &mut budget).unwrap_err();
    let Next::HedgeInFlight(req) = end(req, &AttemptEnd::NotSent) else {
        panic!("the second attempt is not open");
    };
    assert_eq!(req.progress().run(), RunState::Unknown);
    let next = req.end(&upstream(2), &WHOLE, NOW, &mut budget);
    assert!(matches!(next, Next::Answered(_)));
}

/// A silent attempt was ended for another one that the retry budget then refused.
#[test]
fn a_silent_attempt_is_not_replaced_without_a_retry() {
    let req = first_attempt(spec(true, true));
    let mut budget = RetryBudget::new(NOW);
    assert!(req.may_replace(NOW, &mut budget));
    let saved = budget.saved();
    assert!(req.may_replace(NOW, &mut budget));
    assert!(budget.saved() >= saved, "a look takes no retry");
    while budget.take(NOW) {}
    assert!(!req.may_replace(NOW, &mut budget));
}

/// A silent attempt was ended though its work may not be attempted again.
#[test]
fn a_silent_attempt_is_not_replaced_where_no_other_may_follow() {
    let mut budget = RetryBudget::new(NOW);
    let mut shown = first_attempt(spec(true, false));
    assert!(shown.may_replace(NOW, &mut budget));
    shown.show();
    assert!(!shown.may_replace(NOW, &mut budget));
    let late = NOW + Span::from_secs(10);
    assert!(!first_attempt(spec(true, true)).may_replace(late, &mut budget));
    let mut req = first_attempt(spec(true, true));
    for _ in 1..MAX_ATTEMPTS {
        assert!(req.may_replace(NOW, &mut budget));
        let (waiting, _) = expect_retry(end(req, &AttemptEnd::NotSent));
        req = waiting.attempt(upstream(1));
    }
    assert!(!req.may_replace(NOW, &mut budget));
}
