//! Versions: withdraw and offer.

use adminapi::path;
use attohttpc::Method;
use eyre::WrapErr;
use types::prelude::*;

use crate::client::{Client, EditCall};
use crate::failure::Failure;
use crate::output::Output;

pub(super) fn withdraw(
    client: &Client,
    output: &Output,
    version: &VersionId,
) -> Result<(), Failure> {
    change(client, output, version, path::WITHDRAW)
}

pub(super) fn offer(client: &Client, output: &Output, version: &VersionId) -> Result<(), Failure> {
    change(client, output, version, path::OFFER)
}

fn change(
    client: &Client,
    output: &Output,
    version: &VersionId,
    prefix: &str,
) -> Result<(), Failure> {
    let model = &version.model;
    let name = EntryName::new(&format!("models/{model}")).wrap_err("the model's name")?;
    let reply = client.edit(&EditCall {
        method: Method::POST,
        path: format!("{prefix}/{version}"),
        name,
        if_match: None,
        body: (),
    })?;
    output.edited(&reply)
}
