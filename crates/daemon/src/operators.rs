//! The daemon's address for operators: metrics, its own page, and the operators' calls.

pub mod calls;
pub mod fleet;
pub mod page;

use std::rc::Rc;

use heatherknot_http::Handler;

use crate::context::DaemonContext;

/// Makes the handler of the daemon's address for operators.
pub fn handler(cx: &Rc<DaemonContext>) -> Handler {
    let calls = heatherknot_operator::handler(calls::context(cx));
    let cx = Rc::clone(cx);
    Rc::new(move |req| match page::answer(&cx, req.head.path()) {
        Some(response) => Box::pin(std::future::ready(response)),
        None => calls(req),
    })
}
