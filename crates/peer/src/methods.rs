//! The JSON-RPC methods of a daemon, dispatched by `jsonrpsee`'s `RpcModule`.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use jsonrpsee_core::server::{Methods, RpcModule};
use jsonrpsee_types::{ErrorObjectOwned, Id, Params, Request, Response, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use slotmap::{SlotMap, new_key_type};

use crate::auth::PeerId;

/// Error code of a call that was refused without running any part of it.
pub const NOT_RUN_CODE: i32 = -32050;
/// Error code of a call whose handler ended without an answer, or whose answer could not be
/// encoded.
const HANDLER_FAILED_CODE: i32 = -32051;

type Answer = Result<Box<RawValue>, ErrorObjectOwned>;
type Handler = Rc<dyn Fn(PeerId, Params<'static>) -> LocalBoxFuture<'static, Answer>>;

new_key_type! {
    struct HandlerKey;
}

thread_local! {
    /// The handlers registered on this thread. `RpcModule` requires `Send` closures, but a daemon
    /// runs on one thread and its handlers share state through `Rc`. The module's closures
    /// therefore hold keys into this table.
    static HANDLERS: RefCell<SlotMap<HandlerKey, Handler>> = RefCell::new(SlotMap::with_key());
}

/// Creates the error for a call that is refused without running any part of it.
pub fn not_run(message: impl Into<String>) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_RUN_CODE, message, None::<()>)
}

/// The methods of one daemon, registered before its connections are started.
pub struct MethodTable {
    module: RpcModule<()>,
    keys: Vec<HandlerKey>,
}

impl Default for MethodTable {
    fn default() -> Self {
        Self {
            module: RpcModule::new(()),
            keys: Vec::new(),
        }
    }
}

impl MethodTable {
    /// Registers a method. `handler` receives the authenticated caller and the parameters.
    ///
    /// # Panics
    ///
    /// Panics if the name is already registered.
    pub fn register<P, R, F>(
        &mut self,
        name: &'static str,
        handler: impl Fn(PeerId, P) -> F + 'static,
    ) where
        P: DeserializeOwned,
        R: Serialize,
        F: Future<Output = Result<R, ErrorObjectOwned>> + 'static,
    {
        let handler: Handler = Rc::new(move |caller, params| {
            let run = params.parse::<P>().map(|params| handler(caller, params));
            Box::pin(async move { to_answer(run?.await?) })
        });
        let key = HANDLERS.with_borrow_mut(|handlers| handlers.insert(handler));
        self.keys.push(key);
        self.module
            .register_async_method(name, move |params, _, extensions| {
                let caller = extensions.get::<PeerId>().cloned();
                let rx = start_handler(key, caller, params);
                async move { rx.await.unwrap_or_else(|_| Err(handler_failed())) }
            })
            .expect("each method is registered once");
    }

    pub(crate) fn methods_for(&self, caller: &PeerId) -> Methods {
        let mut methods: Methods = self.module.clone().into();
        methods.extensions_mut().insert(caller.clone());
        methods
    }
}

impl Drop for MethodTable {
    fn drop(&mut self) {
        // While the thread ends, the thread-local table may already have been destroyed.
        let removed = HANDLERS.try_with(|handlers| {
            let mut handlers = handlers.borrow_mut();
            let keys = self.keys.drain(..);
            keys.map(|key| handlers.remove(key)).collect::<Vec<_>>()
        });
        // Dropped after the borrow ends, because a handler may own another `MethodTable`.
        drop(removed);
    }
}

fn to_answer(value: impl Serialize) -> Answer {
    serde_json::value::to_raw_value(&value)
        .map_err(|e| ErrorObjectOwned::owned(HANDLER_FAILED_CODE, e.to_string(), None::<()>))
}

fn handler_failed() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        HANDLER_FAILED_CODE,
        "the handler ended without an answer",
        None::<()>,
    )
}

fn start_handler(
    key: HandlerKey,
    caller: Option<PeerId>,
    params: Params<'static>,
) -> oneshot::Receiver<Answer> {
    let (tx, rx) = oneshot::channel();
    let handler = HANDLERS.with_borrow(|handlers| handlers.get(key).cloned());
    let (Some(handler), Some(caller)) = (handler, caller) else {
        return rx;
    };
    monoio::spawn(async move {
        // The receiver is gone if the caller's connection has ended.
        let _ = tx.send(handler(caller, params).await);
    });
    rx
}

/// Runs one JSON-RPC message and returns the answer, unless the message is a notification.
///
/// # Errors
///
/// Returns an error if the message is not a JSON-RPC request.
pub(crate) async fn dispatch(
    methods: &Methods,
    message: &str,
) -> Result<Option<Box<RawValue>>, serde_json::Error> {
    #[derive(serde::Deserialize)]
    struct Message<'a> {
        #[serde(borrow)]
        id: Option<Id<'a>>,
        method: &'a str,
        #[serde(borrow)]
        params: Option<&'a RawValue>,
    }
    let parsed: Message = serde_json::from_str(message)?;
    if parsed.id.is_some() {
        let (answer, _) = methods.raw_json_request(message, 1).await?;
        return Ok(Some(answer));
    }
    let req = serde_json::to_string(&Request::borrowed(parsed.method, parsed.params, Id::Null))?;
    methods.raw_json_request(&req, 1).await?;
    Ok(None)
}

/// Encodes the answer that refuses `message` without running it, or returns `None` if the message
/// is a notification.
pub(crate) fn encode_refusal(message: &str, reason: &str) -> Option<Vec<u8>> {
    #[derive(serde::Deserialize)]
    struct MessageId<'a> {
        #[serde(borrow)]
        id: Option<Id<'a>>,
    }
    let id = serde_json::from_str::<MessageId>(message).ok()?.id?;
    let payload = ResponsePayload::<()>::error(not_run(reason));
    serde_json::to_vec(&Response::new(payload, id)).ok()
}
