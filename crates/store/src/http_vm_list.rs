//! The HTTP adapter for the platform's VM list: `GET /v1/vms` returns a JSON array of records.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::error::{Cause, Effect, Step, StoreError};
use crate::http_client::{Call, Client};
use crate::vm_list::{VmList, VmRecord};

const PATH: &str = "/v1/vms";

/// Creates a client for the VM list at `peer`. A read fails after `limit`.
pub fn connect(peer: SocketAddr, limit: Duration) -> VmList {
    let client = Client::new(peer, limit, limit);
    VmList {
        read: Rc::new(move || {
            let client = client.clone();
            Box::pin(async move { read(&client, limit).await })
        }),
    }
}

async fn read(client: &Client, limit: Duration) -> Result<Vec<VmRecord>, StoreError> {
    let call = Call {
        step: Step::VmList,
        method: Method::GET,
        path: PATH.into(),
        body: Bytes::new(),
        limit,
    };
    let resp = client.call(call).await?;
    if !resp.status.is_success() {
        let status = resp.status.as_u16();
        let message = String::from_utf8_lossy(&resp.body).into_owned();
        let refused = Cause::Refused { status, message };
        return Err(client.error(Step::VmList, Effect::NotApplied, refused));
    }
    serde_json::from_slice(&resp.body).map_err(|err| {
        let message = err.to_string();
        client.error(
            Step::VmList,
            Effect::NotApplied,
            Cause::Unreadable { message },
        )
    })
}
