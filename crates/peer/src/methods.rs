//! The methods that a daemon answers, dispatched by `jsonrpsee`'s `RpcModule`.

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

/// The error code of a call that was refused before anything of it ran.
pub const NOT_RUN_CODE: i32 = -32050;
/// The error code of a handler that ended without an answer.
const HANDLER_FAILED_CODE: i32 = -32051;

type Answer = Result<Box<RawValue>, ErrorObjectOwned>;
type Handler = Rc<dyn Fn(PeerId, Params<'static>) -> LocalBoxFuture<'static, Answer>>;

new_key_type! {
    struct HandlerKey;
}

thread_local! {
    /// The handlers of this thread. `RpcModule` takes only closures that may move between
    /// threads; a daemon is one thread and its handlers share state by `Rc`, so the module
    /// holds keys into this table.
    static HANDLERS: RefCell<SlotMap<HandlerKey, Handler>> = RefCell::new(SlotMap::with_key());
}

/// Makes the error of a call that was refused before anything of it ran.
pub fn not_run(message: impl Into<String>) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_RUN_CODE, message, None::<()>)
}

/// The methods of one daemon, filled before its connections are started.
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
    /// Adds a method: `handler` gets the authenticated caller and the parameters.
    ///
    /// # Panics
    ///
    /// Panics where the name is already taken.
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
        // At the end of its thread the table may be gone already, with all handlers.
        let removed = HANDLERS.try_with(|handlers| {
            let mut handlers = handlers.borrow_mut();
            let keys = self.keys.drain(..);
            keys.map(|key| handlers.remove(key)).collect::<Vec<_>>()
        });
        // Dropped outside the borrow: a handler may own another table.
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
        // The caller's connection may have ended; the handler has run all the same.
        let _ = tx.send(handler(caller, params).await);
    });
    rx
}

/// Runs one JSON-RPC message, and gives the answer where it has an identifier.
///
/// # Errors
///
/// Returns the codec's error where the message is not a JSON-RPC request.
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

/// Gives the answer that refuses `message` before anything of it ran, or nothing where it is
/// a notification.
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
