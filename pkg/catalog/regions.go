package catalog

import (
	"fmt"
	"slices"
)

// AllowsRegion reports whether each list of allowed regions that is not empty contains region.
func AllowsRegion(region string, allowed ...[]string) bool {
	return !slices.ContainsFunc(allowed, func(list []string) bool { return len(list) > 0 && !slices.Contains(list, region) })
}

// HaveCommonRegion reports whether some region is in both lists of allowed regions. An empty
// list allows all regions.
func HaveCommonRegion(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}

// RegionProblem is a contradiction in the allowed regions of a document.
type RegionProblem struct {
	Route, Workspace string // one of them may be empty
	Message          string
}

// RegionProblems returns the allowed regions of d that are not among known, and the routes and
// workspaces whose allowed regions exclude each other.
func RegionProblems(d *Document, known []string) []RegionProblem {
	var problems []RegionProblem
	check := func(route, workspace string, regions []string) {
		for _, region := range regions {
			if !slices.Contains(known, region) {
				problems = append(problems, RegionProblem{route, workspace, fmt.Sprintf("no failure domain is in region %.100q", region)})
			}
		}
	}
	for i := range d.Workspaces {
		check("", d.Workspaces[i].Name, d.Workspaces[i].Regions)
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		check(r.Name, "", r.Regions)
		if r.Public || len(r.Regions) == 0 {
			continue
		}
		for _, w := range d.Workspaces {
			if !HaveCommonRegion(r.Regions, w.Regions) {
				problems = append(problems, RegionProblem{r.Name, w.Name, "the route and the workspace have no region in common"})
			}
		}
	}
	return problems
}
