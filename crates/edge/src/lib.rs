//! The request path of an entry VM where services, routes and backend servers are registered
//! on the platform.
//!
//! A platform's adapter supplies a [`dialect::Dialect`] and a store; [`daemon::run`] does the
//! rest. [`feed`] keeps a copy of the store's keys, [`world`] what follows from them,
//! [`forward`] answers requests and [`lookup`] look-ups.

pub mod accounts;
mod attempt;
pub mod budget;
mod call;
pub mod catalog;
pub mod choose;
pub mod context;
pub mod daemon;
pub mod dialect;
pub mod distance;
mod enter;
pub mod ewma;
pub mod feed;
pub mod forward;
pub mod hand_over;
pub mod homes;
pub mod identify;
pub mod lines;
pub mod lookup;
pub mod metrics;
pub mod mirror;
pub mod pace;
pub mod packed;
pub mod peer_feed;
mod pick;
pub mod poison;
pub mod presence;
pub mod quantile;
pub mod quota;
pub mod reach;
pub mod region_counts;
pub mod registration;
pub mod relay;
mod reply;
pub mod room;
pub mod settings;
pub mod spill;
mod spill_step;
pub mod split;
pub mod spread;
mod stop;
mod story;
pub mod switches;
pub mod upstream;
pub mod window;
pub mod world;
