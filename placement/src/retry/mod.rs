//! How many retries are allowed, counted without communication between routers.

mod budget;
mod token_bucket;

pub use budget::{RetryBudget, RetryLimit};
pub use token_bucket::{RetryTokenBucket, RETRY_TOKEN_LIFETIME_MS};
