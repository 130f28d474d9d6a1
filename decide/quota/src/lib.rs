//! Tenants' quotas: what all routers together let through for a tenant in any window.
//!
//! Each tenant has a token bucket that is cut into up to [`HOLDERS`] parts. A part is held by a
//! control machine that votes, its *holder*, and refills at its share of the tenant's rate. A
//! router draws each request, or a little ahead, from a holder before it lets the request through;
//! what was drawn and not used lapses. Nothing that is granted is ever given back to a bucket.
//!
//! It promises: in any window of `quotaWindowS` what is let through stays within
//! `(ratePerS x window + burstSize) x (1 + quotaOverage) + quotaSlack`, whichever processes are
//! killed, frozen, cut off or replaced, as long as clocks run alike to 1 in 1,000 and no two
//! machines hold a part at once. `docs/design/quota.md` derives it.
//!
//! - [`Figures`]: rate, depth, debt and validity of a tenant, so that the sum stays within the
//!   rule.
//! - [`Tenure`]: which machine holds which part, and until when.
//! - [`Buckets`]: the parts that a machine holds.
//! - [`Draws`]: draws that a control machine passes on for routers.
//! - [`Allowances`]: a router's side.
//!
//! It is pure: no I/O, no clock, no threads. Time is an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod allowances;
mod buckets;
mod draw;
mod draws;
mod figures;
mod tenure;

pub use allowances::{Allowances, Decided, Taken};
pub use buckets::{Buckets, Usage};
pub use draw::{Draw, Grant, MOST_NEEDS};
pub use draws::{Draws, Order, Place};
pub use figures::{Figures, Terms};
pub use tenure::{holders, Holder, Share, Tenure, HOLDERS, LEASE, SETTLING};
