//! The account of a day: what crossed the sockets, as the stand-ins at their far ends saw it (`record`), and
//! whether the five rules were kept (`rules`). It shares no code and no view with the decision module.

pub mod across;
pub mod balance;
pub mod record;
pub mod rules;
mod stalls;
pub mod work;
