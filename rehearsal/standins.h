/*
 * standins.h: entry points of the subcommands that stand in for the platform.
 */
#pragma once

int quince_engine_standin_run (int argc, char **argv);
int quince_kv_standin_run (int argc, char **argv);
int quince_weights_standin_run (int argc, char **argv);
int quince_trainer_standin_run (int argc, char **argv);
int quince_scorer_standin_run (int argc, char **argv);
int quince_machines_standin_run (int argc, char **argv);
int quince_proxy_run (int argc, char **argv);
