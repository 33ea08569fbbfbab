#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/deployment.h"
#include "soak/judge.h"
#include "soak/soak_plan.h"
#include "soak/workload.h"

namespace jasminelead::soak {

/// Plays the faults of a plan; those that overlap last as long as any of them.
class fault_player {
public:
    fault_player(deployment& all, workload& clients, disturbance_log& disturbances,
                 double usual_work_ms);
    /// Returns when all faults have ended.
    void play(const std::vector<planned_fault>& plan);

private:
    struct target {
        service* group = nullptr;
        instance* item = nullptr;
        daemon_process* host = nullptr;
    };

    target choose(const planned_fault& fault);
    void play_one(const planned_fault& fault);
    void play_platform(const planned_fault& fault, const target& at);
    void play_store(const planned_fault& fault, const target& at);
    /// The store goes on from a copy that is as old as the fault is long. One at a time.
    void restore_store(const planned_fault& fault);
    void play_instance(const planned_fault& fault, const target& at);
    void play_links(const planned_fault& fault, const target& at);
    [[nodiscard]] std::vector<host_links::link> choose_links(const planned_fault& fault,
                                                             const target& at) const;
    /// Keeps links in a condition for a while.
    void hold_links(const std::vector<host_links::link>& chosen, const link_condition& condition,
                    double length_ms);
    void note_disturbance(const host_links::link& link, double from, double to);
    void play_host(const planned_fault& fault, const target& at);
    void kill_hosts(const planned_fault& fault);
    void cut(const planned_fault& fault, const target& at);
    /// Cuts the instance off from a share of the hosts.
    void cut_hosts(const planned_fault& fault, const target& at, double share, double length_ms);
    void replace(const planned_fault& fault, service& group, instance& item);
    /// Sets a value for the length of a fault, then the usual one unless another fault has set it.
    template <class Set>
    void hold(const planned_fault& fault, const std::string& name, Set set);
    void change_promotions(double promotion_trouble::*member, double value);
    void change_store(double store_trouble::*member, double value);

    deployment& m_all;
    workload& m_clients;
    disturbance_log& m_disturbances;
    double m_usual_work_ms;
    std::mutex m_lock;
    std::mutex m_restore_lock;
    std::map<std::string, int> m_holders;
    promotion_trouble m_promotions;
    store_trouble m_store;
    std::map<std::string, std::mutex> m_hosts;  ///< One signal series per host at a time.
    std::atomic<int> m_replaced = 0;
};

}  // namespace jasminelead::soak
