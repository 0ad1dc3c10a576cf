//! Handlers for roll-outs and for offering and withdrawing versions; all are edits of a model's
//! entry.

use std::sync::Arc;

use adminapi::entry::EntryReply;
use adminapi::error::{ErrorBody, ErrorCode};
use adminapi::rollout::StartRequest;
use catalogue::entry::{Body, Entry, Model, VersionState};
use catalogue::view::MODELS;
use rollout::edit::{Action, EditError, Start, act, set_state};
use rouille::Request;
use types::prelude::*;

use crate::command::{Command, Edit};
use crate::reply::{Answer, fail, json};
use crate::routes::catalogue::edit_id;
use crate::routes::{Api, read_body};

impl Api {
    pub(super) fn list_rollouts(&self) -> Answer {
        json(&self.ask(Command::Rollouts)?)
    }

    pub(super) fn rollout_action(
        &self,
        req: &Request,
        operator: &OperatorName,
        model: &str,
        action: &str,
    ) -> Answer {
        let action = parse_action(req, action)?;
        let edit = |model: &Model| act(model, &action);
        self.edit_model(req, operator, model, edit)
    }

    pub(super) fn set_withdrawn(
        &self,
        req: &Request,
        operator: &OperatorName,
        version: &str,
    ) -> Answer {
        self.set_version_state(req, operator, version, VersionState::Withdrawn)
    }

    /// Offers a version. Its suspensions are lifted first, because that works even while the store
    /// is down and the following edit fails.
    pub(super) fn set_offered(
        &self,
        req: &Request,
        operator: &OperatorName,
        version: &str,
    ) -> Answer {
        if let Ok(id) = version.parse() {
            self.ask(|reply| Command::LiftSuspension(id, reply))?;
        }
        self.set_version_state(req, operator, version, VersionState::Offered)
    }

    fn set_version_state(
        &self,
        req: &Request,
        operator: &OperatorName,
        version: &str,
        state: VersionState,
    ) -> Answer {
        let Ok(id) = version.parse::<VersionId>() else {
            return fail(
                ErrorCode::InvalidRequest,
                format!("{version} is not a version"),
                "write MODEL@VERSION, as tariff-large@2026-11",
            );
        };
        let edit = |model: &Model| set_state(model, &id.version, state);
        self.edit_model(req, operator, id.model.as_str(), edit)
    }

    /// Reads a model's entry, changes it and writes it on condition that its revision is unchanged.
    ///
    /// A concurrent change is reported as a conflict and not retried: two operators who advance a
    /// roll-out at the same time want one step, not two.
    fn edit_model(
        &self,
        req: &Request,
        operator: &OperatorName,
        model: &str,
        edit: impl FnOnce(&Model) -> Result<Model, EditError>,
    ) -> Answer {
        let name = EntryName::new(&format!("{MODELS}{model}")).or_else(|e| {
            fail(
                ErrorCode::InvalidRequest,
                format!("{model} cannot name a model: {e}"),
                "write the model's name, as tariff-large",
            )
        })?;
        let current = self.existing_entry(&name)?;
        let (owner, model) = model_of(&current)?;
        let changed = edit(model).or_else(wrong_state)?;
        self.edit(Edit {
            name,
            entry: Some(Arc::new(Entry {
                owner,
                body: Body::Model(changed),
            })),
            if_match: Some(current.revision),
            author: operator.clone(),
            edit_id: edit_id(req, Some(current.revision))?,
        })
    }
}

fn model_of(reply: &EntryReply) -> Result<(OperatorName, &Model), Box<ErrorBody>> {
    match reply.entry.as_deref() {
        Some(Entry {
            owner,
            body: Body::Model(model),
        }) => Ok((owner.clone(), model)),
        _ => fail(
            ErrorCode::WrongState,
            format!("{} is not a model", reply.name),
            "GET /catalogue lists the models",
        ),
    }
}

fn wrong_state<T>(e: EditError) -> Result<T, Box<ErrorBody>> {
    fail(
        ErrorCode::WrongState,
        e.to_string(),
        "nothing was written; `buckthorncross rollout status` shows what stands",
    )
}

fn parse_action(req: &Request, action: &str) -> Result<Action, Box<ErrorBody>> {
    match action {
        "start" => parse_start(&read_body(req)?),
        "advance" => Ok(Action::Advance),
        "pause" => Ok(Action::Pause),
        "resume" => Ok(Action::Resume),
        "abort" => Ok(Action::Abort),
        _ => fail(
            ErrorCode::NotFound,
            format!("there is no action {action}"),
            "start, advance, pause, resume and abort are",
        ),
    }
}

fn parse_start(body: &[u8]) -> Result<Action, Box<ErrorBody>> {
    let start: StartRequest = serde_json::from_slice(body).or_else(|e| {
        fail(
            ErrorCode::InvalidRequest,
            format!("the body does not say what to roll out: {e}"),
            "send {\"to\":\"2026-12\"}; from, steps and gate may be given",
        )
    })?;
    Ok(Action::Start(Start {
        to: start.to,
        from: start.from,
        steps: start.steps,
        gate: start.gate,
    }))
}
