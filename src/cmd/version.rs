//! `withdraw` and `offer`: change the state of a version.

use adminapi::path;
use attohttpc::Method;
use eyre::WrapErr;
use types::prelude::*;

use crate::client::{Client, EditRequest};
use crate::failure::Failure;
use crate::output::Output;

pub(super) fn withdraw(
    client: &Client,
    output: &Output,
    version: &VersionId,
) -> Result<(), Failure> {
    set_state(client, output, version, path::WITHDRAW)
}

pub(super) fn offer(client: &Client, output: &Output, version: &VersionId) -> Result<(), Failure> {
    set_state(client, output, version, path::OFFER)
}

fn set_state(
    client: &Client,
    output: &Output,
    version: &VersionId,
    prefix: &str,
) -> Result<(), Failure> {
    let model = &version.model;
    let name = EntryName::new(&format!("models/{model}")).wrap_err("the model's name")?;
    let reply = client.edit(&EditRequest {
        method: Method::POST,
        path: format!("{prefix}/{version}"),
        name,
        if_match: None,
        body: (),
    })?;
    output.edited(&reply)
}
