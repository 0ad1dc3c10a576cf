//! Sending a request whose draft has a low confidence to a larger model.

use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;

use dispatch::RetryReason;
use types::prelude::*;

use super::replace::{Replaced, ReplacementPlan};
use super::{Exchange, Step};
use crate::run::Run;
use crate::translate::Translator;

impl<'a, T: Translator> Exchange<'a, T> {
    /// Sends the request to a larger model if its draft has a low confidence; `None` if no upstream
    /// takes it, or none is needed, and the draft is the answer.
    pub(super) async fn escalate(
        &mut self,
        draft: &Run,
        confidence: Option<u8>,
    ) -> Option<Step<'a, T>> {
        let larger = self.larger_model(confidence)?;
        let tried = std::mem::replace(&mut self.tried, vec![draft.index]);
        let timing = &self.shared.cfg.policy.timing;
        let overlap = Span::from_millis(timing.draft_overlap_ms.into());
        let mut own_upstream = Some(draft.index);
        loop {
            let runs = self.runs;
            let plan = ReplacementPlan {
                reason: RetryReason::LargerModel,
                model_index: Some(larger),
                own_upstream: own_upstream.take(),
                runs,
                sends: self.sends,
                overlap,
            };
            let draft_goes_on = pin!(pending::<Result<Infallible, Infallible>>());
            match self.replace(plan, draft_goes_on).await {
                Replaced::Taken(step) => {
                    let confidence = confidence.unwrap_or_default();
                    self.record_try(draft, &format!("dropped as unsure ({confidence})"));
                    self.model_index = Some(larger);
                    // The draft's upstream has not failed, unless it has the request again.
                    self.tried.remove(0);
                    return Some(step);
                }
                // Another upstream may take it.
                Replaced::Refused if runs == self.runs => {}
                Replaced::Refused => break,
                Replaced::Unavailable(no) => {
                    self.log_kept(draft, "a draft", no);
                    break;
                }
                Replaced::WentOn(never) | Replaced::Broke(never, _) => match never {},
            }
        }
        self.tried.extend(tried);
        None
    }
}
