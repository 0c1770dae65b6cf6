//! How many endpoints of each kind run in each failure domain.
