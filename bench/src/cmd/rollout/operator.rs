//! Operator actions in a run.

use catalogue::entry::VersionState;
use rollout::edit::{self, Action, Start};
use types::prelude::*;

use super::is_active;
use super::run::{Run, gate, index_of, name};
use super::scenario::Operator;

impl Run<'_> {
    /// Runs the operator's action during a pause, and the withdrawal that ends every roll-out.
    pub(super) fn run_operator(&mut self, now: Time) {
        if self.operator_at.is_some_and(|at| now.has_reached(at)) {
            self.operator_at = None;
            self.operator_acts();
        }
        let drop = self.dropped();
        let few_engines = self
            .engines
            .iter()
            .filter(|e| e.ready.contains(&drop))
            .count()
            <= 2;
        let idle = self.demand_by_version()[index_of(&drop)] < 0.5;
        if !is_active(self.state()) && few_engines && idle && self.withdrawn.is_none() {
            self.withdraw(&drop);
        }
    }

    fn operator_acts(&mut self) {
        let active = is_active(self.state());
        match self.scenario.operator {
            Operator::Aborts if active => self.act(&Action::Abort),
            Operator::Withdraws if active => self.withdraw(&name("2")),
            // Rolls all the way back while the old version's capacity is being removed.
            Operator::Aborts if self.withdrawn.is_none() => self.act(&Action::Start(Start {
                to: name("1"),
                from: Some(name("2")),
                steps: Some(vec![Share::ALL]),
                gate: Some(gate()),
            })),
            _ => {}
        }
    }

    fn act(&mut self, action: &Action) {
        self.apply_edit(edit::act(&self.model, action));
    }

    fn withdraw(&mut self, version: &VersionName) {
        self.apply_edit(edit::set_state(
            &self.model,
            version,
            VersionState::Withdrawn,
        ));
        self.withdrawn = Some(version.clone());
    }
}
