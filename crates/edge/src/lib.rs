//! Request path of an entry VM on a platform where services, routes and backend servers are
//! registered.
//!
//! A platform adapter supplies a [`dialect::Dialect`] and a store; [`daemon::run`] does the rest.
//! [`feed`] mirrors the store's keys, [`routing_state`] derives the routing state from them,
//! [`forward`] answers requests and [`lookup`] answers lookups.

pub mod accounts;
pub mod admission;
mod attempt;
pub mod backpressure;
pub mod budget;
mod call;
mod call_selection;
pub mod catalog;
pub mod cold_sends;
pub mod context;
pub mod daemon;
pub mod dialect;
mod entry_maintenance;
pub mod ewma;
pub mod feed;
pub mod feed_policy;
pub mod feed_topology;
pub mod forward;
pub mod hand_over;
pub mod homes;
pub mod identify;
pub mod load_control;
pub mod locality;
mod locality_update;
pub mod log_limit;
pub mod lookup;
mod lost_records;
pub mod machine_speed;
pub mod metrics;
pub mod mirror;
pub mod packed;
pub mod peer_feed;
pub mod placement;
pub mod poison;
pub mod presence;
pub mod propagation;
pub mod quantile;
pub mod quota;
pub mod reachability;
pub mod region_counts;
pub mod registration;
pub mod relay;
mod reply;
pub mod request_limit;
mod request_log;
mod request_work;
pub mod rollout;
pub mod round_trip;
pub mod route_agreement;
pub mod routing_state;
pub mod selection;
pub mod service_times;
pub mod settings;
pub mod spillover;
pub mod split;
mod stop;
pub mod switches;
pub mod unrestricted_share;
pub mod upstream;
pub mod window;
pub mod work_profile;
