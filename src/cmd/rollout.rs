//! `rollout`: starts, advances, pauses, resumes, aborts and shows roll-outs.

use ::rollout::edit::state_name;
use adminapi::path;
use adminapi::rollout::{RolloutStatus, RolloutsReply, StartRequest};
use attohttpc::Method;
use catalogue::entry::Gate;
use eyre::WrapErr;
use serde::Serialize;
use types::prelude::*;

use crate::cli::{RolloutCommand, RolloutStart};
use crate::client::{Client, EditRequest};
use crate::failure::Failure;
use crate::output::{Output, print_table, table};

pub(super) fn run(
    client: &Client,
    output: &Output,
    command: RolloutCommand,
) -> Result<(), Failure> {
    match command {
        RolloutCommand::Start(args) => start(client, output, args),
        RolloutCommand::Advance(args) => post_action(client, output, &args.model, "advance", &()),
        RolloutCommand::Pause(args) => post_action(client, output, &args.model, "pause", &()),
        RolloutCommand::Resume(args) => post_action(client, output, &args.model, "resume", &()),
        RolloutCommand::Abort(args) => post_action(client, output, &args.model, "abort", &()),
        RolloutCommand::Status(_) => status(client, output),
    }
}

fn start(client: &Client, output: &Output, args: RolloutStart) -> Result<(), Failure> {
    let default = Gate::default();
    let gate = Gate {
        ratings: args.ratings.unwrap_or(default.ratings),
        stay: args.stay.unwrap_or(default.stay),
    };
    let request = StartRequest {
        to: args.to.version,
        from: args.from,
        steps: args.steps,
        gate: Some(gate),
    };
    post_action(client, output, &args.to.model, "start", &request)
}

fn post_action<T: Serialize>(
    client: &Client,
    output: &Output,
    model: &ModelName,
    action: &str,
    body: &T,
) -> Result<(), Failure> {
    let name = EntryName::new(&format!("models/{model}")).wrap_err("the model's name")?;
    let reply = client.edit(&EditRequest {
        method: Method::POST,
        path: path::rollout(model, action),
        name,
        if_match: None,
        body,
    })?;
    output.edited(&reply)
}

fn status(client: &Client, output: &Output) -> Result<(), Failure> {
    let reply: RolloutsReply = client.get(path::ROLLOUTS)?;
    output.reply(&reply, |reply| {
        let mut rows = table([
            "MODEL",
            "FROM",
            "TO",
            "STATE",
            "STEP",
            "SHARE",
            "NEW READY",
            "OLD READY",
            "DRIVER",
            "WAITS FOR",
        ]);
        for rollout in &reply.rollouts {
            rows.add_row(row(rollout));
        }
        print_table(&rows);
    })
}

fn row(status: &RolloutStatus) -> [String; 10] {
    let rollout = &status.rollout;
    let ready = &status.upstreams;
    let driver = status.driver.as_ref().map(ToString::to_string);
    [
        status.model.to_string(),
        rollout.from.to_string(),
        rollout.to.to_string(),
        state_name(rollout.state).to_owned(),
        format!("{}/{}", rollout.step + 1, rollout.steps.len()),
        rollout.share().to_string(),
        format!("{}/{}", ready.new_ready, ready.total),
        format!("{}/{}", ready.old_ready, ready.total),
        driver.unwrap_or_else(|| "-".to_owned()),
        status.waiting_for.clone().unwrap_or_else(|| "-".to_owned()),
    ]
}
