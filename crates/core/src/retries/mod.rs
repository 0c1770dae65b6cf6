//! Budgets that keep retries from outliving their cause.
