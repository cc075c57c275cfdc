//! A sidecar on sockets, with pods, list and installer that do as they are told.

mod crossings;
mod hard_cases;
mod help;
mod on_trial;
mod second_tries;
mod wants;
mod wrong_answer_reports;
